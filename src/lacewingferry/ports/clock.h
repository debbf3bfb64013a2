#ifndef LACEWINGFERRY_PORTS_CLOCK_H_
#define LACEWINGFERRY_PORTS_CLOCK_H_

// Defines the port through which a program reads time. Decisions don't use
// it: they take the present as an argument.

#include <chrono>
#include <functional>

namespace lacewingferry {

/** Reads time for the parts of a program that feed the decisions. */
struct ClockPort {
  /** The monotonic present, for deadlines, leases and ages. It counts the time
   * for which the machine was suspended, so a timer of a library that doesn't
   * is set to a length of time, never to a time of this clock. */
  std::function<std::chrono::steady_clock::time_point()> now;
  /** The calendar's present, for logs and history only. */
  std::function<std::chrono::system_clock::time_point()> wall_now;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_PORTS_CLOCK_H_
