#include "lacewingferry/adapters/clock/system_clock.h"

namespace lacewingferry {

ClockPort MakeSystemClock() {
  return ClockPort{[] { return std::chrono::steady_clock::now(); },
                   [] { return std::chrono::system_clock::now(); }};
}

}  // namespace lacewingferry
