#ifndef BENCH_MODEL_EVENT_QUEUE_H_
#define BENCH_MODEL_EVENT_QUEUE_H_

// Defines EventQueue, virtual time for tests and experiments.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace lacewingferry::model {

/** Runs actions in the order of their virtual times; actions of equal time
 * run in the order in which they were added. */
class EventQueue {
 public:
  /** The virtual present. */
  std::chrono::steady_clock::time_point Now() const { return this->now; }

  /** Adds an action; a time in the past means now. */
  void At(std::chrono::steady_clock::time_point time,
          std::function<void()> action);

  /** Adds an action after a delay. */
  void After(std::chrono::nanoseconds delay, std::function<void()> action);

  /** Runs all actions up to and including a time, then stands at it. */
  void RunUntil(std::chrono::steady_clock::time_point end);

  /** Whether no action is left. */
  bool Empty() const { return this->actions.empty(); }

 private:
  using Key = std::pair<std::chrono::steady_clock::time_point, std::uint64_t>;

  std::chrono::steady_clock::time_point now{};
  std::uint64_t next_sequence = 0;
  std::map<Key, std::function<void()>> actions;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_EVENT_QUEUE_H_
