#ifndef LACEWINGFERRY_DECISIONS_LIMITS_QUEUE_BOUND_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_QUEUE_BOUND_H_

// Defines QueueBound, which limits the expected wait of a request while a
// member is overloaded.

#include <chrono>
#include <optional>

namespace lacewingferry {

/**
 * Limits a member's queue by measured times. If the queue would need longer
 * than the bound to drain for 200 ms on end, it isn't a burst: a request that
 * would wait longer than the bound is then refused at once, since queueing it
 * would delay the others and increase no throughput. The shortest wait, by
 * which other systems recognize a burst, says nothing about a fair queue, in
 * which a session that rarely sends requests never waits long.
 *
 * The bound is the time of 80 turns on one connection, so that the 75 callers
 * of a database, with one request each, are admitted even on a single
 * connection.
 */
class QueueBound {
 public:
  /** Records that a request left the queue for a connection, how long the
   * remaining queue needs to drain, and how long a request usually holds its
   * connection. */
  void OnDequeued(std::chrono::steady_clock::time_point now,
                  std::chrono::nanoseconds drain,
                  std::chrono::nanoseconds hold);

  /** The longest wait to admit; none while the queue drains by itself. */
  std::optional<std::chrono::nanoseconds> MaxWait() const {
    return this->max_wait;
  }

 private:
  std::optional<std::chrono::nanoseconds> max_wait;
  std::chrono::steady_clock::time_point interval_end;
  /** The shortest drain time in the current interval. */
  std::optional<std::chrono::nanoseconds> shortest;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_QUEUE_BOUND_H_
