#include "lacewingferry/decisions/execution/status_polls.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

/** The shortest interval between two polls. */
constexpr milliseconds kMinInterval{2};
/** The longest interval; bounds how late the end of a replica's outage is
 * seen. */
constexpr milliseconds kMaxInterval{100};
/** The interval is the age of the oldest wait divided by this. */
constexpr int kAgeDivisor = 8;
/** A due poll waits this many more intervals for the state to arrive with the
 * result of a request. */
constexpr int kIntervalsUntilOverdue = 4;

}  // namespace

nanoseconds StatusPolls::Interval(steady_clock::time_point oldest_wait) const {
  const nanoseconds age = this->last_status - oldest_wait;
  return std::clamp<nanoseconds>(age / kAgeDivisor, kMinInterval, kMaxInterval);
}

std::optional<steady_clock::time_point> StatusPolls::Due(
    steady_clock::time_point oldest_wait,
    nanoseconds usual_confirmation_time) const {
  if (this->outstanding) return std::nullopt;
  const nanoseconds expected =
      usual_confirmation_time - usual_confirmation_time / 4;
  return std::max(this->last_status + this->Interval(oldest_wait),
                  oldest_wait + expected);
}

std::optional<steady_clock::time_point> StatusPolls::Overdue(
    steady_clock::time_point oldest_wait,
    nanoseconds usual_confirmation_time) const {
  const auto due = this->Due(oldest_wait, usual_confirmation_time);
  if (!due) return std::nullopt;
  return *due + kIntervalsUntilOverdue * this->Interval(oldest_wait);
}

}  // namespace lacewingferry
