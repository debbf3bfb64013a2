#include "lacewingferry/decisions/limits/queue_bound.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/** A queue that is too long for this time doesn't drain by itself. */
constexpr milliseconds kInterval{200};
/** The bound as a number of turns on one connection, and its minimum. */
constexpr int kBoundTurns = 80;
constexpr milliseconds kMinBound{250};
/** Refusals keep the queue near the bound, so they end only when it has fallen
 * to one part in this many of the bound. */
constexpr int kEndDivisor = 4;

}  // namespace

void QueueBound::OnDequeued(std::chrono::steady_clock::time_point now,
                            nanoseconds drain, nanoseconds hold) {
  this->shortest = std::min(this->shortest.value_or(drain), drain);
  if (now < this->interval_end) return;
  const nanoseconds bound =
      std::max<nanoseconds>(kMinBound, kBoundTurns * hold);
  const nanoseconds limit = this->max_wait ? bound / kEndDivisor : bound;
  this->max_wait = *this->shortest > limit ? std::optional<nanoseconds>(bound)
                                           : std::nullopt;
  this->shortest.reset();
  this->interval_end = now + kInterval;
}

}  // namespace lacewingferry
