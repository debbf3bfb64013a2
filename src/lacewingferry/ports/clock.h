#ifndef LACEWINGFERRY_PORTS_CLOCK_H_
#define LACEWINGFERRY_PORTS_CLOCK_H_

// Defines the port through which a program reads time. Decisions don't use
// it: they take the present as an argument.

#include <chrono>
#include <functional>

namespace lacewingferry {

/** Reads time for the parts of a program that feed the decisions. */
struct ClockPort {
  /** The monotonic present, for deadlines, leases and ages. */
  std::function<std::chrono::steady_clock::time_point()> now;
  /** The calendar's present, for logs and history only. */
  std::function<std::chrono::system_clock::time_point()> wall_now;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_PORTS_CLOCK_H_
