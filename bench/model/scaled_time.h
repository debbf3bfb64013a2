#ifndef BENCH_MODEL_SCALED_TIME_H_
#define BENCH_MODEL_SCALED_TIME_H_

// Defines ScaledTime, a reading of a clock that runs at another rate.

#include <chrono>

namespace lacewingferry::model {

/** The time that a clock shows which runs rate times as fast. */
inline std::chrono::steady_clock::time_point ScaledTime(
    std::chrono::steady_clock::time_point time, double rate) {
  using Clock = std::chrono::steady_clock;
  const double ticks =
      static_cast<double>(time.time_since_epoch().count()) * rate;
  return Clock::time_point(Clock::duration(static_cast<Clock::rep>(ticks)));
}

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_SCALED_TIME_H_
