#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_APPLY_RATE_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_APPLY_RATE_H_

// Defines ApplyRate, how fast a replica applies its primary's log.

#include <chrono>
#include <cstdint>
#include <optional>

#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** Estimates from a replica's own reports when it will reach a position. */
class ApplyRate {
 public:
  /** Takes a report. */
  void Observe(std::chrono::steady_clock::time_point now,
               const LogPosition& applied);

  /** The expected time from the last report until the replica has applied a
   * position; none as long as too little was observed. */
  std::optional<std::chrono::nanoseconds> TimeToReach(
      const LogPosition& position) const;

 private:
  std::chrono::steady_clock::time_point anchor_time;
  LogPosition anchor;
  LogPosition newest;
  /** Entries a second; 0 while unknown. */
  double rate = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_APPLY_RATE_H_
