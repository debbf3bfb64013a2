#ifndef LACEWINGFERRY_DECISIONS_LEASE_LEASE_TIMING_H_
#define LACEWINGFERRY_DECISIONS_LEASE_LEASE_TIMING_H_

// Defines LeaseTiming, the durations that lease holders and grantors share.

#include <chrono>

#include "lacewingferry/core/clock_drift.h"

namespace lacewingferry {

/**
 * A lease survives two lost renewals. It is short enough to expire while the
 * failure of an unresponsive primary is still being confirmed, so a holder that
 * is partitioned together with its primary hardly delays a failover.
 */
struct LeaseTiming {
  /** How long a lease lasts on the grantor's clock. */
  std::chrono::milliseconds duration{600};
  /** The time between two renewals. */
  std::chrono::milliseconds renewal_interval{200};
  /** A holder shortens a grant by 1 / drift_divisor of it and by
   * drift_allowance, for the drift between the two clocks. */
  int drift_divisor = kClockDriftParts;
  std::chrono::milliseconds drift_allowance{5};

  /** How long a holder may use a grant, counted from when it sent the renewal.
   */
  std::chrono::milliseconds UsableDuration(
      std::chrono::milliseconds granted) const {
    return granted - granted / this->drift_divisor - this->drift_allowance;
  }
};

/** The timing for session proxies. A lease survives a change of the control
 * leader. A failover need not wait for it to expire, since control recalls the
 * leases of all holders that it can reach. */
inline LeaseTiming MakeSessionLeaseTiming() {
  LeaseTiming timing;
  timing.duration = std::chrono::milliseconds(2500);
  timing.renewal_interval = std::chrono::milliseconds(500);
  return timing;
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LEASE_LEASE_TIMING_H_
