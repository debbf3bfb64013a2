#ifndef LACEWINGFERRY_DECISIONS_TIMELINE_FAILOVER_PHASES_H_
#define LACEWINGFERRY_DECISIONS_TIMELINE_FAILOVER_PHASES_H_

// Defines FindFailovers, the changes of primary in a time line and the length
// of their phases.

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/hybrid_time.h"
#include "lacewingferry/core/timeline_entry.h"

namespace lacewingferry {

/** One change of a database's primary. A phase whose end isn't in the time
 * line has no length. */
struct Failover {
  std::string database;
  /** The term that the change made. */
  std::string term;
  /** When the old primary was suspected. */
  HybridTime suspected_at;
  /** From the old primary's last sign of life to its suspicion. */
  std::optional<std::chrono::microseconds> detection;
  /** From the suspicion to the end of all leases on the old term. */
  std::optional<std::chrono::microseconds> lease;
  /** From there until the new primary takes writes. */
  std::optional<std::chrono::microseconds> promotion;
  /** From there until the last proxy routes to the new primary. */
  std::optional<std::chrono::microseconds> rerouting;
};

/**
 * Finds the failovers of a merged time line, in the order of their suspicion.
 * Reads kPrimarySuspected, kLeasesEnded, kPrimaryPromoted and kPrimaryRouted,
 * which all have the fields database and term; kPrimarySuspected states the
 * term that it will make, and in silence the time without a sign of life, for
 * example 600ms.
 */
std::vector<Failover> FindFailovers(const std::vector<TimelineEntry>& merged);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TIMELINE_FAILOVER_PHASES_H_
