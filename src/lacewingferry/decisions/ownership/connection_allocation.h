#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_CONNECTION_ALLOCATION_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_CONNECTION_ALLOCATION_H_

// Defines AllocateConnections, which determines how many connections to a
// group's members a proxy may hold, and which proxies serve the group's
// sessions if there aren't enough for every proxy.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/messages/fleet_messages.h"
#include "lacewingferry/core/service_configuration.h"

namespace lacewingferry {

/** A proxy's allocation of a group's connections. */
struct ConnectionAllocation {
  /** Whether the proxy serves the group's sessions itself. */
  bool owner = true;
  /** Connections that an owner may hold to each member. */
  std::uint32_t connections = 1;
  /** The proxies of the zone that serve the group's sessions; empty if all do,
   * and while the owners are unknown. */
  std::vector<NodeId> owners;
};

/**
 * Allocates a group's connections to proxies. If there are enough for each
 * proxy to get a few, all are owners. Otherwise every zone gets an equal share
 * of them, for as many owners as can have enough connections for transactions
 * that are idle between statements. Owners are the first in rendezvous hashing,
 * so that a proxy that joins or leaves moves only the groups that it owns.
 */
ConnectionAllocation AllocateConnections(const ServiceRule& rule,
                                         std::uint32_t proxies,
                                         const ZoneProxies& zone,
                                         const NodeId& self);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_CONNECTION_ALLOCATION_H_
