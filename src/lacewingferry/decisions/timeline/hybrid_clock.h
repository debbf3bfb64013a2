#ifndef LACEWINGFERRY_DECISIONS_TIMELINE_HYBRID_CLOCK_H_
#define LACEWINGFERRY_DECISIONS_TIMELINE_HYBRID_CLOCK_H_

// Defines HybridClock, a hybrid logical clock for the events of a process.

#include <chrono>

#include "lacewingferry/core/hybrid_time.h"

namespace lacewingferry {

/** The maximum by which a received time may be ahead of the local wall time.
 */
constexpr std::chrono::seconds kMaxTimeAhead{60};

/** Returns strictly increasing times, each later than every received one. The
 * caller passes in the wall time. Not thread-safe. */
class HybridClock {
 public:
  /** Returns the time of a new event. */
  HybridTime Tick(std::chrono::system_clock::time_point wall_now);

  /** Advances the clock to a message's time, so that later events are ordered
   * after it. Ignores a time that is too far ahead; otherwise one wrong clock
   * would advance the clocks of all processes. */
  void Receive(HybridTime remote,
               std::chrono::system_clock::time_point wall_now);

 private:
  HybridTime last;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TIMELINE_HYBRID_CLOCK_H_
