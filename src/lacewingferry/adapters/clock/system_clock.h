#ifndef LACEWINGFERRY_ADAPTERS_CLOCK_SYSTEM_CLOCK_H_
#define LACEWINGFERRY_ADAPTERS_CLOCK_SYSTEM_CLOCK_H_

// Defines the clock port over this machine's clocks.

#include "lacewingferry/ports/clock.h"

namespace lacewingferry {

/** A clock port that reads the machine's clocks. */
ClockPort MakeSystemClock();

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_CLOCK_SYSTEM_CLOCK_H_
