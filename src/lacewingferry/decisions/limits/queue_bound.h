#ifndef LACEWINGFERRY_DECISIONS_LIMITS_QUEUE_BOUND_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_QUEUE_BOUND_H_

// Defines QueueBound, how long a request may be expected to wait where more is
// asked for than can be served.

#include <chrono>
#include <optional>

namespace lacewingferry {

/**
 * Adapts the admitted queue of a member to the measured times. While the queue
 * would need longer than the bound to drain, for a fifth of a second on end, it
 * isn't a burst: a request that would wait longer than the bound is refused at
 * once, since queueing it delays the others and serves none more. The shortest
 * wait, by which other systems tell a burst, tells nothing of a fair queue,
 * where a session that asks rarely never waits long.
 *
 * The bound is the time of 80 turns on one connection. The 75 callers that
 * stand before a database, one request each, pass it even on a single one.
 */
class QueueBound {
 public:
  /** Takes that a request left the queue for a connection, how long the rest
   * needs to drain, and how long a request usually holds its connection. */
  void OnTaken(std::chrono::steady_clock::time_point now,
               std::chrono::nanoseconds drain, std::chrono::nanoseconds hold);

  /** The longest wait to admit; none while the queue drains by itself. */
  std::optional<std::chrono::nanoseconds> MostWait() const {
    return this->most_wait;
  }

 private:
  std::optional<std::chrono::nanoseconds> most_wait;
  std::chrono::steady_clock::time_point interval_end;
  /** The shortest time to drain in the present interval. */
  std::optional<std::chrono::nanoseconds> shortest;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_QUEUE_BOUND_H_
