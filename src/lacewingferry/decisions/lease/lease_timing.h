#ifndef LACEWINGFERRY_DECISIONS_LEASE_LEASE_TIMING_H_
#define LACEWINGFERRY_DECISIONS_LEASE_LEASE_TIMING_H_

// Defines LeaseTiming, the durations that holders and grantors of leases
// share.

#include <chrono>

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
  int drift_divisor = 100;
  std::chrono::milliseconds drift_allowance{5};

  /** How long a holder may use a grant, from the sending of its request. */
  std::chrono::milliseconds UsableFor(std::chrono::milliseconds granted) const {
    return granted - granted / this->drift_divisor - this->drift_allowance;
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LEASE_LEASE_TIMING_H_
