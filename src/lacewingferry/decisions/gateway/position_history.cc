#include "lacewingferry/decisions/gateway/position_history.h"

#include <algorithm>

#include "lacewingferry/core/clock_drift.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Samples closer together than this are skipped to save memory. */
constexpr milliseconds kMinSampleInterval{20};
constexpr std::size_t kMaxSamples = 256;
/** Subtracted from the staleness limit for the granularity of clocks and
 * timers. */
constexpr milliseconds kClockGranularity{10};

}  // namespace

void PositionHistory::Add(steady_clock::time_point requested_at,
                          const LogPosition& position) {
  if (!this->newest || *this->newest < position) this->newest = position;
  if (!this->samples.empty()) {
    const Sample& last = this->samples.back();
    if (requested_at < last.requested_at + kMinSampleInterval) return;
    // Answers may arrive out of order, but a later request never covers less
    // than an earlier one.
    this->samples.push_back({requested_at, std::max(position, last.position)});
  } else {
    this->samples.push_back({requested_at, position});
  }
  if (this->samples.size() > kMaxSamples) this->samples.pop_front();
}

std::optional<LogPosition> PositionHistory::LeastPositionFor(
    steady_clock::time_point began_at, milliseconds max_staleness) const {
  const auto usable =
      max_staleness - max_staleness / kClockDriftParts - kClockGranularity;
  const auto found = std::find_if(
      this->samples.begin(), this->samples.end(), [&](const Sample& sample) {
        return sample.requested_at >= began_at - usable;
      });
  if (found == this->samples.end()) return std::nullopt;
  return found->position;
}

std::optional<steady_clock::time_point> PositionHistory::NewestRequestTime()
    const {
  if (this->samples.empty()) return std::nullopt;
  return this->samples.back().requested_at;
}

LogPosition PositionHistory::ClampToTerm(const LogPosition& position) const {
  if (!this->newest || position.term >= this->newest->term) return position;
  if (this->term_start.term == 0) return position;
  if (position.term < this->term_start.term) return this->term_start;
  return std::min(position, this->term_start);
}

}  // namespace lacewingferry
