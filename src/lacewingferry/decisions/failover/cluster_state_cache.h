#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_CLUSTER_STATE_CACHE_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_CLUSTER_STATE_CACHE_H_

// Defines ClusterStateCache, a proxy's copy of the control service's decisions
// about databases.

#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/failover/primary_observer.h"

namespace lacewingferry {

/** Keeps the newest entry of each database. Updates may be lost, duplicated or
 * late, so an entry is replaced only by one with a higher revision. */
class ClusterStateCache {
 public:
  /** Applies an update; returns whether any entry changed. */
  bool OnUpdate(const ClusterUpdate& update);

  /** All changes up to this revision have been received. */
  std::uint64_t Revision() const { return this->revision; }

  /** The entry of a database; nullptr if no update has listed it yet. */
  const DatabaseTerm* Find(const DatabaseId& database) const;

  /** Replaces the term, primary and counted members in a view built from
   * announcements by those that the control service decided: the primary is the
   * member that it chose, whatever role a member announces. */
  void Overlay(RoutingView& view) const;

  /** The databases on which a proxy needs leases: those to whose primary it
   * owns connections, by a view that Overlay was applied to. */
  std::vector<DatabaseStamp> OwnedStamps(const RoutingView& view,
                                         const NodeId& proxy) const;

  /** The primaries that a proxy has to watch: those that it owns connections
   * to. */
  std::vector<WatchedPrimary> OwnedPrimaries(const RoutingView& view,
                                             const NodeId& proxy) const;

 private:
  std::uint64_t revision = 0;
  std::map<DatabaseId, DatabaseTerm> databases;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_CLUSTER_STATE_CACHE_H_
