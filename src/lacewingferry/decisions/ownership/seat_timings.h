#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_TIMINGS_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_TIMINGS_H_

// Defines SeatTimings, the intervals and limits for claiming and granting
// seats.

#include <chrono>

namespace lacewingferry {

/** Times for seats. They have to be equal on all proxies. */
struct SeatTimings {
  /** The interval between claims. */
  std::chrono::milliseconds renewal{300};
  /** The interval while seats are missing or are to be released. */
  std::chrono::milliseconds unsettled{100};
  /** How long after a claim a witness grants the seat to nobody else. */
  std::chrono::milliseconds grant{1000};
  /** How much earlier the holder lets the grant expire: the drift of two
   * clocks over a grant, plus the time in which a member notices a closed
   * connection. */
  std::chrono::milliseconds margin{150};
  /** How long after a change of the witnesses a majority of the earlier ones is
   * needed as well: the time until a configuration is in force everywhere, plus
   * the time of a grant. */
  std::chrono::milliseconds overlap{10000};
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_TIMINGS_H_
