#include "lacewingferry/decisions/freshness/apply_rate.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** Minimum time over which a rate is measured, so that single bursts of applied
 * entries don't dominate it. */
constexpr std::chrono::milliseconds kMinWindow{200};
/** Weight of the newest window in the moving average. */
constexpr double kNewestWeight = 0.5;

}  // namespace

void ApplyRate::Observe(steady_clock::time_point now,
                        const LogPosition& applied) {
  if (this->window_start_position == LogPosition{} || applied < this->newest) {
    this->window_start = now;
    this->window_start_position = applied;
  }
  this->newest = applied;
  if (now - this->window_start < kMinWindow) return;
  const std::chrono::duration<double> passed = now - this->window_start;
  const double measured =
      static_cast<double>(applied.offset - this->window_start_position.offset) /
      passed.count();
  this->rate = this->rate == 0
                   ? measured
                   : this->rate + (measured - this->rate) * kNewestWeight;
  this->window_start = now;
  this->window_start_position = applied;
}

std::optional<std::chrono::nanoseconds> ApplyRate::TimeToReach(
    const LogPosition& position) const {
  if (position <= this->newest) return std::chrono::nanoseconds(0);
  if (this->rate <= 0 || position.offset <= this->newest.offset) {
    return std::nullopt;
  }
  const std::chrono::duration<double> time(
      static_cast<double>(position.offset - this->newest.offset) / this->rate);
  if (time > std::chrono::hours(1)) return std::chrono::hours(1);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

}  // namespace lacewingferry
