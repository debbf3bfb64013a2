#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_CLUSTER_STATE_CACHE_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_CLUSTER_STATE_CACHE_H_

// Defines ClusterKnowledge, what a proxy was told of control's decisions.

#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/failover/primary_observer.h"

namespace lacewingferry {

/** The newest entry of each database, taken from updates that may be lost,
 * doubled or late. An entry never goes back to an earlier revision. */
class ClusterKnowledge {
 public:
  /** Takes an update; returns whether anything changed. */
  bool OnUpdate(const ClusterUpdate& update);

  /** Everything up to this revision is known. */
  std::uint64_t Revision() const { return this->revision; }

  /** The entry of a database; nullptr before control spoke of it. */
  const DatabaseTerm* Find(const DatabaseId& database) const;

  /** Puts control's decisions into a view that was built from announcements:
   * a primary is who control says, whatever a member says of itself. */
  void Overlay(RoutingView& view) const;

  /** The databases whose primary a proxy owns connections to by an overlaid
   * view, to hold leases on. */
  std::vector<DatabaseStamp> OwnedStamps(const RoutingView& view,
                                         const NodeId& proxy) const;

  /** The primaries that a proxy owns connections to, to watch. */
  std::vector<WatchedPrimary> OwnedPrimaries(const RoutingView& view,
                                             const NodeId& proxy) const;

 private:
  std::uint64_t revision = 0;
  std::map<DatabaseId, DatabaseTerm> databases;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_CLUSTER_STATE_CACHE_H_
