#include "lacewingferry/decisions/ownership/connection_allocation.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

/** The share of a member's connections that proxies divide among themselves.
 * The rest is for control, for proxies that have just started, and for
 * connections of dead processes that the member has not noticed yet. */
constexpr std::uint32_t kSharedPercent = 85;
constexpr std::uint32_t kMaxConnections = 8;
/** With fewer connections to each member, an idle transaction would block a
 * proxy's other sessions. */
constexpr std::uint32_t kMinConnections = 2;
/** Connections to each member that an owner in a zone gets. */
constexpr std::uint32_t kOwnerConnections = 4;

std::uint32_t Clamp(std::uint32_t connections) {
  return std::clamp<std::uint32_t>(connections, 1, kMaxConnections);
}

std::vector<NodeId> HighestRanked(const DatabaseId& database,
                                  const std::vector<NodeId>& proxies,
                                  std::size_t count) {
  std::vector<std::pair<std::uint64_t, NodeId>> ranked;
  ranked.reserve(proxies.size());
  for (const NodeId& proxy : proxies) {
    ranked.emplace_back(RendezvousWeight(database.Value(), proxy.Value()),
                        proxy);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<NodeId> first;
  for (const auto& entry : ranked) {
    if (first.size() == count) break;
    first.push_back(entry.second);
  }
  return first;
}

}  // namespace

ConnectionAllocation AllocateConnections(const ServiceRule& rule,
                                         std::uint32_t proxies,
                                         const ZoneProxies& zone,
                                         const NodeId& self) {
  ConnectionAllocation allocation;
  const std::uint32_t shared = rule.max_connections * kSharedPercent / 100;
  const std::uint32_t each = shared / std::max<std::uint32_t>(proxies, 1);
  if (each >= kMinConnections) {
    allocation.connections = Clamp(each);
    return allocation;
  }
  const std::uint32_t of_zone = shared / std::max<std::uint32_t>(zone.zones, 1);
  const std::uint32_t owners =
      std::max<std::uint32_t>(of_zone / kOwnerConnections, 1);
  allocation.owners = HighestRanked(rule.database, zone.proxies, owners);
  allocation.owner =
      std::find(allocation.owners.begin(), allocation.owners.end(), self) !=
      allocation.owners.end();
  const std::size_t count = std::max<std::size_t>(allocation.owners.size(), 1);
  allocation.connections = Clamp(of_zone / static_cast<std::uint32_t>(count));
  return allocation;
}

}  // namespace lacewingferry
