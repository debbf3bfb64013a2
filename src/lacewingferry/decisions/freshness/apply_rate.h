#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_APPLY_RATE_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_APPLY_RATE_H_

// Defines ApplyRate, an estimate of how fast a replica applies its primary's
// log.

#include <chrono>
#include <cstdint>
#include <optional>

#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** Estimates from a replica's reports when it will reach a position. */
class ApplyRate {
 public:
  /** Records a report of the applied position. */
  void Observe(std::chrono::steady_clock::time_point now,
               const LogPosition& applied);

  /** The expected time from the last report until the replica has applied a
   * position; none if it can't be estimated. */
  std::optional<std::chrono::nanoseconds> TimeToReach(
      const LogPosition& position) const;

 private:
  std::chrono::steady_clock::time_point window_start;
  LogPosition window_start_position;
  LogPosition newest;
  /** Entries per second; 0 while unknown. */
  double rate = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_APPLY_RATE_H_
