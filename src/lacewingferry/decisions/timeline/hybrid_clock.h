#ifndef LACEWINGFERRY_DECISIONS_TIMELINE_HYBRID_CLOCK_H_
#define LACEWINGFERRY_DECISIONS_TIMELINE_HYBRID_CLOCK_H_

// Defines HybridClock, which gives a process's events their hybrid times.

#include <chrono>

#include "lacewingferry/core/hybrid_time.h"

namespace lacewingferry {

/** The farthest that a received time may be ahead of the own wall time. */
constexpr std::chrono::seconds kMostTimeAhead{60};

/** Gives times that always rise and follow those received. The wall time is
 * passed in. Not safe for several threads. */
class HybridClock {
 public:
  /** The time of a new event. */
  HybridTime Tick(std::chrono::system_clock::time_point wall_now);

  /** Takes note of a message's time, so that later events come after it. A
   * time too far ahead is ignored, or one wrong clock would pull all others
   * along. */
  void Receive(HybridTime remote,
               std::chrono::system_clock::time_point wall_now);

 private:
  HybridTime last;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TIMELINE_HYBRID_CLOCK_H_
