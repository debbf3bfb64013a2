#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_CONNECTION_DEAL_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_CONNECTION_DEAL_H_

// Defines DealConnections, which says how many connections to a group's
// members a proxy may hold, and who serves the group's sessions where there
// aren't enough for every proxy.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/messages/fleet_messages.h"
#include "lacewingferry/core/service_configuration.h"

namespace lacewingferry {

/** What of a group's connections is a proxy's. */
struct ConnectionDeal {
  /** Whether the proxy serves the group's sessions itself. */
  bool owner = true;
  /** The connections to each member that an owner may hold. */
  std::uint32_t connections = 1;
  /** The proxies of the zone that serve the group's sessions; empty where all
   * do, and while it isn't known who does. */
  std::vector<NodeId> owners;
};

/**
 * Deals a group's connections to proxies. As long as each gets a few, all are
 * owners. Beyond that every zone has its share of them, for as many owners as
 * get enough of them for transactions that rest between statements; these rank
 * first by rendezvous hashing, so that a proxy that comes or goes moves only
 * the groups that are its own.
 */
ConnectionDeal DealConnections(const ServiceRule& rule, std::uint32_t proxies,
                               const ZoneProxies& zone, const NodeId& self);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_CONNECTION_DEAL_H_
