#ifndef LACEWINGFERRY_DECISIONS_TIMELINE_FAILOVER_PHASES_H_
#define LACEWINGFERRY_DECISIONS_TIMELINE_FAILOVER_PHASES_H_

// Defines FindFailovers, which finds the changes of primary in a timeline and
// the durations of their phases.

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/hybrid_time.h"
#include "lacewingferry/core/timeline_entry.h"

namespace lacewingferry {

/** One change of a database's primary. A phase has no duration if its start or
 * its end isn't in the timeline. */
struct Failover {
  std::string database;
  /** The new term. */
  std::string term;
  /** When the new term began and the old one ended. */
  HybridTime begun_at;
  /** From when control suspected the old primary until the old term ended. */
  std::optional<std::chrono::microseconds> detection;
  /** From the end of the old term until a majority was fenced, all leases on
   * the old term had ended and the new primary was chosen. */
  std::optional<std::chrono::microseconds> lease;
  /** From the choice of the new primary until it leads a majority. */
  std::optional<std::chrono::microseconds> promotion;
  /** From when the new primary leads a majority until the last proxy routes to
   * it; 0 if all proxies did so before. */
  std::optional<std::chrono::microseconds> rerouting;
};

/**
 * Finds the failovers in a merged timeline, in the order in which their terms
 * began. Reads kPrimarySuspected, kTermBegun, kPrimaryChosen,
 * kPrimaryConfirmed and kPrimaryRouted, which have the fields database and
 * term. The term is the old one for kPrimarySuspected and the new one for the
 * others.
 */
std::vector<Failover> FindFailovers(const std::vector<TimelineEntry>& merged);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TIMELINE_FAILOVER_PHASES_H_
