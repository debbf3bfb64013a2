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

/** One change of a database's primary. A phase of which the time line lacks
 * the start or the end has no length. */
struct Failover {
  std::string database;
  /** The term that the change made. */
  std::string term;
  /** When the old term ended. */
  HybridTime begun_at;
  /** From control's suspicion of the old primary until the old term ended. */
  std::optional<std::chrono::microseconds> detection;
  /** From there until a majority was fenced, all leases on the old term had
   * ended and the new primary was chosen. */
  std::optional<std::chrono::microseconds> lease;
  /** From there until the new primary leads a majority. */
  std::optional<std::chrono::microseconds> promotion;
  /** From there until the last proxy routes to the new primary; 0 if all did
   * before. */
  std::optional<std::chrono::microseconds> rerouting;
};

/**
 * Finds the failovers of a merged time line, in the order in which their terms
 * began. Reads kPrimarySuspected, kTermBegun, kPrimaryChosen,
 * kPrimaryConfirmed and kPrimaryRouted, which have the fields database and
 * term; a suspicion states the old term, the others the new one.
 */
std::vector<Failover> FindFailovers(const std::vector<TimelineEntry>& merged);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TIMELINE_FAILOVER_PHASES_H_
