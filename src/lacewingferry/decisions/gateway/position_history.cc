#include "lacewingferry/decisions/gateway/position_history.h"

#include <algorithm>

#include "lacewingferry/core/clock_drift.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Samples closer together than this add nothing worth their memory. */
constexpr milliseconds kLeastDistance{20};
constexpr std::size_t kMostSamples = 256;
/** Taken off the stated age for the fineness of clocks and timers. */
constexpr milliseconds kMargin{10};

}  // namespace

void PositionHistory::Add(steady_clock::time_point asked,
                          const LogPosition& position) {
  if (!this->newest || *this->newest < position) this->newest = position;
  if (!this->samples.empty()) {
    const Sample& last = this->samples.back();
    if (asked < last.asked + kLeastDistance) return;
    // Answers may overtake one another; a later question never covers less.
    this->samples.push_back({asked, std::max(position, last.position)});
  } else {
    this->samples.push_back({asked, position});
  }
  if (this->samples.size() > kMostSamples) this->samples.pop_front();
}

std::optional<LogPosition> PositionHistory::LeastFor(
    steady_clock::time_point begun, milliseconds max_staleness) const {
  const auto usable =
      max_staleness - max_staleness / kClockDriftParts - kMargin;
  const auto found = std::find_if(
      this->samples.begin(), this->samples.end(),
      [&](const Sample& sample) { return sample.asked >= begun - usable; });
  if (found == this->samples.end()) return std::nullopt;
  return found->position;
}

std::optional<steady_clock::time_point> PositionHistory::NewestAsked() const {
  if (this->samples.empty()) return std::nullopt;
  return this->samples.back().asked;
}

LogPosition PositionHistory::InTerm(const LogPosition& position) const {
  if (!this->newest || position.term >= this->newest->term) return position;
  if (this->term_start.term == 0) return position;
  if (position.term < this->term_start.term) return this->term_start;
  return std::min(position, this->term_start);
}

}  // namespace lacewingferry
