#include "lacewingferry/decisions/limits/queue_bound.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/** A queue that is too long for so long doesn't drain by itself. */
constexpr milliseconds kInterval{200};
/** The bound in turns of one connection, and at the least. */
constexpr int kBoundTurns = 80;
constexpr milliseconds kLeastBound{250};
/** Refusing keeps the queue near the bound, so it ends at a part of it. */
constexpr int kEndParts = 4;

}  // namespace

void QueueBound::OnTaken(std::chrono::steady_clock::time_point now,
                         nanoseconds drain, nanoseconds hold) {
  this->shortest = std::min(this->shortest.value_or(drain), drain);
  if (now < this->interval_end) return;
  const nanoseconds bound =
      std::max<nanoseconds>(kLeastBound, kBoundTurns * hold);
  const nanoseconds limit = this->most_wait ? bound / kEndParts : bound;
  this->most_wait = *this->shortest > limit ? std::optional<nanoseconds>(bound)
                                            : std::nullopt;
  this->shortest.reset();
  this->interval_end = now + kInterval;
}

}  // namespace lacewingferry
