#ifndef LACEWINGFERRY_APP_WAIT_UNTIL_H_
#define LACEWINGFERRY_APP_WAIT_UNTIL_H_

// Defines WaitUntil, which sets a timer of the library to a time of the clock
// port.

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace lacewingferry {

/** Sets a timer to a length of time: the clock port counts suspensions, which
 * the timer's own clock leaves out. A time that is far away fires early, so
 * the handler looks at the clock again. */
inline void WaitUntil(boost::asio::steady_timer& timer,
                      std::chrono::steady_clock::time_point now,
                      std::chrono::steady_clock::time_point due) {
  constexpr std::chrono::minutes kLongest{10};
  const auto latest = now + kLongest;
  timer.expires_after(std::clamp(due, now, latest) - now);
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_WAIT_UNTIL_H_
