#ifndef LACEWINGFERRY_DECISIONS_RATE_LIMIT_LIMIT_TOLERANCE_H_
#define LACEWINGFERRY_DECISIONS_RATE_LIMIT_LIMIT_TOLERANCE_H_

// Defines LimitTolerance, over which time a customer's rate limit counts and
// how far a fleet may exceed it.

#include <algorithm>
#include <chrono>

#include "lacewingferry/core/service_configuration.h"

namespace lacewingferry {

/** The token bucket that keeps to a limit. */
struct BucketSize {
  /** The most permits that are free or out. */
  double capacity = 0;
  /** The same while permits may be used that the bucket doesn't know of: those
   * of another control leader, or of the limit before it was removed. */
  double overlap_capacity = 0;
  /** Permits per second that become free. */
  double refill = 0;
};

/**
 * In any window a customer may start rate x window + burst operations, and the
 * fleet may exceed that by the tolerance. Without a window the limit counts
 * over any time.
 */
struct LimitTolerance {
  std::chrono::milliseconds window{0};
  /** As a part of what the limit allows in the window. */
  double overrun = 0;
  /** Operations on top of that. */
  double slack = 0;

  /** The operations that a limit allows in a window. */
  double Allowed(const RateLimit& limit) const {
    const std::chrono::duration<double> seconds = this->window;
    return limit.rate * seconds.count() + limit.burst;
  }

  /** The operations by which a limit may be exceeded in a window. */
  double Extra(const RateLimit& limit) const {
    return this->overrun * this->Allowed(limit) + this->slack;
  }

  /**
   * The bucket for a limit. A window sees at most the capacity and what is
   * refilled meanwhile, and with two changes of the control leader twice the
   * overlap's capacity on top. Together they stay within what is allowed: half
   * of the tolerance is left for the overlaps, and what the burst doesn't need
   * is refilled over the window.
   */
  BucketSize SizeFor(const RateLimit& limit) const {
    constexpr double kBurstShare = 0.75;
    constexpr double kToleranceShare = 0.25;
    constexpr double kOverlapShare = 0.125;
    const double extra = this->Extra(limit);
    BucketSize size;
    if (this->window.count() == 0) {
      size.capacity = std::max(1.0, limit.burst);
      size.refill = limit.rate;
      return size;
    }
    size.capacity =
        std::max(1.0, limit.burst * kBurstShare + extra * kToleranceShare);
    size.overlap_capacity =
        size.capacity * kOverlapShare + extra * kToleranceShare;
    const double left = this->Allowed(limit) + extra - size.capacity -
                        2 * size.overlap_capacity;
    const std::chrono::duration<double> seconds = this->window;
    size.refill = std::max(0.0, left / seconds.count());
    return size;
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_RATE_LIMIT_LIMIT_TOLERANCE_H_
