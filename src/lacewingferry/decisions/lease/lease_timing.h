#ifndef LACEWINGFERRY_DECISIONS_LEASE_LEASE_TIMING_H_
#define LACEWINGFERRY_DECISIONS_LEASE_LEASE_TIMING_H_

// Defines LeaseTiming, the durations that holders and grantors of leases
// share.

#include <chrono>

#include "lacewingferry/core/clock_drift.h"

namespace lacewingferry {

/**
 * The lease outlasts two lost renewals, and is short enough to end while the
 * fall of a silent primary is still being established: a holder that is cut
 * off together with its primary doesn't prolong a failover by much.
 */
struct LeaseTiming {
  /** How long a grant lasts by the grantor's clock. */
  std::chrono::milliseconds duration{600};
  /** The pause between the sendings of two renewals. */
  std::chrono::milliseconds renewal_interval{200};
  /** What a holder takes off a grant for the drift between two clocks: one
   * part in drift_divisor and a fixed allowance. */
  int drift_divisor = kClockDriftParts;
  std::chrono::milliseconds drift_allowance{5};

  /** How long a holder may use a grant, from the sending of its request. */
  std::chrono::milliseconds UsableFor(std::chrono::milliseconds granted) const {
    return granted - granted / this->drift_divisor - this->drift_allowance;
  }
};

/** The timing for proxies of sessions. One lease outlasts a change of the
 * leader of control; a failover doesn't wait for it, since leases are recalled
 * from the holders that can be reached. */
inline LeaseTiming MakeSessionLeaseTiming() {
  LeaseTiming timing;
  timing.duration = std::chrono::milliseconds(2500);
  timing.renewal_interval = std::chrono::milliseconds(500);
  return timing;
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LEASE_LEASE_TIMING_H_
