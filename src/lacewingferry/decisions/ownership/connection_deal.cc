#include "lacewingferry/decisions/ownership/connection_deal.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

/** Of a member's connections the proxies share this part; the rest is for
 * control, for proxies that just came, and for connections of processes that
 * died and weren't noticed yet. */
constexpr std::uint32_t kSharedPercent = 85;
constexpr std::uint32_t kMostConnections = 8;
/** With fewer to each member, a transaction that rests would keep a proxy's
 * other sessions waiting. */
constexpr std::uint32_t kLeastConnections = 2;
/** What an owner among a zone's proxies gets of each member. */
constexpr std::uint32_t kOwnerConnections = 4;

std::uint32_t Clamp(std::uint32_t connections) {
  return std::clamp<std::uint32_t>(connections, 1, kMostConnections);
}

std::vector<NodeId> FirstRanked(const DatabaseId& database,
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

ConnectionDeal DealConnections(const ServiceRule& rule, std::uint32_t proxies,
                               const ZoneProxies& zone, const NodeId& self) {
  ConnectionDeal deal;
  const std::uint32_t shared = rule.max_connections * kSharedPercent / 100;
  const std::uint32_t each = shared / std::max<std::uint32_t>(proxies, 1);
  if (each >= kLeastConnections) {
    deal.connections = Clamp(each);
    return deal;
  }
  const std::uint32_t of_zone = shared / std::max<std::uint32_t>(zone.zones, 1);
  const std::uint32_t owners =
      std::max<std::uint32_t>(of_zone / kOwnerConnections, 1);
  deal.owners = FirstRanked(rule.database, zone.proxies, owners);
  deal.owner = std::find(deal.owners.begin(), deal.owners.end(), self) !=
               deal.owners.end();
  const std::size_t count = std::max<std::size_t>(deal.owners.size(), 1);
  deal.connections = Clamp(of_zone / static_cast<std::uint32_t>(count));
  return deal;
}

}  // namespace lacewingferry
