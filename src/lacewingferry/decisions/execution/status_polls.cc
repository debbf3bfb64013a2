#include "lacewingferry/decisions/execution/status_polls.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

/** The shortest pause between two questions. */
constexpr milliseconds kShortestPause{2};
/** The longest, so that the end of a replica's outage is seen soon. */
constexpr milliseconds kLongestPause{100};
/** The pause is the age of the oldest wait divided by this. */
constexpr int kAgeDivisor = 8;
/** A question waits this many more pauses for the state to come by itself. */
constexpr int kPausesUntilOverdue = 4;

}  // namespace

nanoseconds StatusPolls::Pause(steady_clock::time_point oldest_wait) const {
  const nanoseconds age = this->last_status - oldest_wait;
  return std::clamp<nanoseconds>(age / kAgeDivisor, kShortestPause,
                                 kLongestPause);
}

std::optional<steady_clock::time_point> StatusPolls::Due(
    steady_clock::time_point oldest_wait, nanoseconds usual) const {
  if (this->running) return std::nullopt;
  const nanoseconds expected = usual - usual / 4;
  return std::max(this->last_status + this->Pause(oldest_wait),
                  oldest_wait + expected);
}

std::optional<steady_clock::time_point> StatusPolls::Overdue(
    steady_clock::time_point oldest_wait, nanoseconds usual) const {
  const auto due = this->Due(oldest_wait, usual);
  if (!due) return std::nullopt;
  return *due + kPausesUntilOverdue * this->Pause(oldest_wait);
}

}  // namespace lacewingferry
