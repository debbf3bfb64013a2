#ifndef LACEWINGFERRY_DECISIONS_LIMITS_RETRY_SCHEDULE_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_RETRY_SCHEDULE_H_

// Defines RetrySchedule, which delays requests that no member could serve until
// they are routed again.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lacewingferry {

/** Delays each request by a randomized pause that grows with its attempts, so
 * that requests that wait for a new primary cost few messages and don't all
 * arrive at once. */
class RetrySchedule {
 public:
  using Action = std::function<void()>;

  /** The seed makes the pauses of different proxies differ. */
  explicit RetrySchedule(std::uint64_t seed);

  /** The pause after a number of failed rounds: from 5 to 10 ms at first,
   * finally from 200 to 400 ms. */
  std::chrono::milliseconds BackoffAfter(std::uint32_t rounds);

  /** Runs an action at a time. */
  void Add(std::chrono::steady_clock::time_point at, Action action);

  /** Reschedules all waiting actions to run within the next 50 ms, since a new
   * primary may serve their requests. */
  void Expedite(std::chrono::steady_clock::time_point now);

  /** Removes and returns the actions that are due. */
  std::vector<Action> TakeDue(std::chrono::steady_clock::time_point now);

  std::optional<std::chrono::steady_clock::time_point> Next() const;
  std::size_t Size() const { return this->waiting.size(); }

 private:
  std::minstd_rand random;
  std::multimap<std::chrono::steady_clock::time_point, Action> waiting;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_RETRY_SCHEDULE_H_
