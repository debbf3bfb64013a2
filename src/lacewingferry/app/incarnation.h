#ifndef LACEWINGFERRY_APP_INCARNATION_H_
#define LACEWINGFERRY_APP_INCARNATION_H_

// Defines IncarnationNow, the number of a process's run.

#include <chrono>
#include <cstdint>

#include "lacewingferry/ports/clock.h"

namespace lacewingferry {

/** A number that is higher for a later run of the same process: the calendar's
 * time in microseconds. */
inline std::uint64_t IncarnationNow(const ClockPort& clock) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          clock.wall_now().time_since_epoch())
          .count());
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_INCARNATION_H_
