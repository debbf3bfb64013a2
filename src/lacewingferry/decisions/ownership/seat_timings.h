#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_TIMINGS_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_TIMINGS_H_

// Defines SeatTimings, the times by which slots change hands.

#include <chrono>

namespace lacewingferry {

/** The times of seats. They have to be equal on all proxies. */
struct SeatTimings {
  /** The pause between two claims. */
  std::chrono::milliseconds renewal{200};
  /** How long a witness gives a seat to nobody else after a claim. */
  std::chrono::milliseconds grant{1000};
  /** How much shorter the holder counts it: the drift of two clocks over a
   * grant, and the time in which a member notices a closed connection. */
  std::chrono::milliseconds margin{150};
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_TIMINGS_H_
