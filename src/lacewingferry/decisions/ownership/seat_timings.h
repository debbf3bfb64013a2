#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_TIMINGS_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_TIMINGS_H_

// Defines SeatTimings, the times by which slots change hands.

#include <chrono>

namespace lacewingferry {

/** The times of seats. They have to be equal on all proxies. */
struct SeatTimings {
  /** The pause between two claims. */
  std::chrono::milliseconds renewal{300};
  /** The pause while seats are missing or are to be given back. */
  std::chrono::milliseconds unsettled{100};
  /** How long a witness gives a seat to nobody else after a claim. */
  std::chrono::milliseconds grant{1000};
  /** How much shorter the holder counts it: the drift of two clocks over a
   * grant, and the time in which a member notices a closed connection. */
  std::chrono::milliseconds margin{150};
  /** How long after a change of the witnesses a majority of the earlier ones
   * is needed as well: the time in which a configuration is in force
   * everywhere, and a grant. */
  std::chrono::milliseconds overlap{10000};
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_TIMINGS_H_
