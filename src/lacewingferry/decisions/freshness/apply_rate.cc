#include "lacewingferry/decisions/freshness/apply_rate.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** A rate is measured over this time at least, so that single bursts of
 * applied entries don't decide it. */
constexpr std::chrono::milliseconds kWindow{200};
/** The weight of the newest window. */
constexpr double kNewestWeight = 0.5;

}  // namespace

void ApplyRate::Observe(steady_clock::time_point now,
                        const LogPosition& applied) {
  if (this->anchor == LogPosition{} || applied < this->newest) {
    this->anchor_time = now;
    this->anchor = applied;
  }
  this->newest = applied;
  if (now - this->anchor_time < kWindow) return;
  const std::chrono::duration<double> passed = now - this->anchor_time;
  const double measured =
      static_cast<double>(applied.offset - this->anchor.offset) /
      passed.count();
  this->rate = this->rate == 0
                   ? measured
                   : this->rate + (measured - this->rate) * kNewestWeight;
  this->anchor_time = now;
  this->anchor = applied;
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
