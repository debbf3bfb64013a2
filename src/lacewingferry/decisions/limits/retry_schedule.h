#ifndef LACEWINGFERRY_DECISIONS_LIMITS_RETRY_SCHEDULE_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_RETRY_SCHEDULE_H_

// Defines RetrySchedule, when requests that no member could serve are routed
// anew.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lacewingferry {

/** Holds back each request for a randomized pause that grows with its rounds,
 * so that requests that wait for a new primary cost few messages and don't come
 * all at once. */
class RetrySchedule {
 public:
  using Action = std::function<void()>;

  /** The seed varies the pauses of different proxies. */
  explicit RetrySchedule(std::uint64_t seed);

  /** The pause of a request that has gone so many rounds in vain: from 5 to
   * 10 ms at first, from 200 to 400 ms in the end. */
  std::chrono::milliseconds PauseAfter(std::uint32_t rounds);

  /** Runs an action at a time. */
  void Add(std::chrono::steady_clock::time_point at, Action action);

  /** Lets all that waits run within the next 50 ms, since a new primary may
   * serve it. */
  void Hasten(std::chrono::steady_clock::time_point now);

  /** Takes out what is due. */
  std::vector<Action> TakeDue(std::chrono::steady_clock::time_point now);

  std::optional<std::chrono::steady_clock::time_point> Next() const;
  std::size_t Size() const { return this->waiting.size(); }

 private:
  std::minstd_rand random;
  std::multimap<std::chrono::steady_clock::time_point, Action> waiting;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_RETRY_SCHEDULE_H_
