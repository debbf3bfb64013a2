#include "lacewingferry/adapters/clock/system_clock.h"

#include <time.h>

namespace lacewingferry {
namespace {

/** The time since the machine started, with the time that it was suspended.
 * The library's steady clock leaves that out: a process that was suspended
 * would go on with leases that ended meanwhile. */
std::chrono::steady_clock::time_point TimeSinceBoot() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::steady_clock::time_point(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

ClockPort MakeSystemClock() {
  return ClockPort{TimeSinceBoot,
                   [] { return std::chrono::system_clock::now(); }};
}

}  // namespace lacewingferry
