#ifndef LACEWINGFERRY_APP_HYBRID_WALL_CLOCK_H_
#define LACEWINGFERRY_APP_HYBRID_WALL_CLOCK_H_

// Defines HybridWallClock, a process's clock whose wall time is hybrid.

#include <functional>

#include "lacewingferry/core/hybrid_time.h"
#include "lacewingferry/ports/clock.h"

namespace lacewingferry {

/** Any thread may use it. */
struct HybridWallClock {
  /** The given clock, with a wall time that always rises and follows the
   * received times. Give it to the event log. */
  ClockPort clock;
  /** The time to send with a message. */
  std::function<HybridTime()> time_to_send;
  /** Takes note of the time that came with a message. */
  std::function<void(HybridTime)> receive;
};

/** Makes the clock of a process; all its parts share one state. */
HybridWallClock MakeHybridWallClock(ClockPort clock);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_HYBRID_WALL_CLOCK_H_
