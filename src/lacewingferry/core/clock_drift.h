#ifndef LACEWINGFERRY_CORE_CLOCK_DRIFT_H_
#define LACEWINGFERRY_CORE_CLOCK_DRIFT_H_

// Defines kClockDriftParts, how far the clocks of two machines may drift apart.

namespace lacewingferry {

/** A length of time on one monotonic clock differs from that on another by at
 * most one part in this many. Leases and proofs of ages rest on it. */
constexpr int kClockDriftParts = 100;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_CLOCK_DRIFT_H_
