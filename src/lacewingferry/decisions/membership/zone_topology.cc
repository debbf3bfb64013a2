#include "lacewingferry/decisions/membership/zone_topology.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

constexpr std::size_t kRelaysPerZone = 2;
constexpr std::size_t kObserversPerNode = 3;
/** In a zone with at least this many proxies the relays monitor no members,
 * since they already bear the load of forwarding records to all of these. */
constexpr std::size_t kMinProxiesToExemptRelays = 16;

/** Sorts processes by their rendezvous weights for a key, largest first. */
void SortByWeight(const std::string& key, std::vector<NodeId>& nodes) {
  std::vector<std::pair<std::uint64_t, NodeId>> weighted;
  for (NodeId& node : nodes) {
    const std::uint64_t weight = RendezvousWeight(key, node.Value());
    weighted.emplace_back(weight, std::move(node));
  }
  std::sort(weighted.rbegin(), weighted.rend());
  nodes.clear();
  for (auto& entry : weighted) nodes.push_back(std::move(entry.second));
}

/** The process with the largest rendezvous weight for a key; empty if there are
 * no candidates. */
NodeId HighestWeighted(const std::string& key,
                       const std::vector<NodeId>& nodes) {
  NodeId best;
  std::uint64_t largest = 0;
  for (const NodeId& node : nodes) {
    const std::uint64_t weight = RendezvousWeight(key, node.Value());
    if (!best.Empty() && weight < largest) continue;
    best = node;
    largest = weight;
  }
  return best;
}

}  // namespace

void ZoneTopology::Rebuild(const std::vector<NodeState>& live) {
  this->nodes.clear();
  this->zones.clear();
  this->all_proxies.clear();
  for (const NodeState& node : live) {
    this->nodes[node.info.id] = node;
    Zone& zone = this->zones[node.info.zone];
    zone.ring.push_back(node.info.id);
    if (node.role != NodeRole::kProxy) continue;
    zone.proxies.push_back(node.info.id);
    this->all_proxies.push_back(node.info.id);
  }
  for (auto& entry : this->zones) {
    Zone& zone = entry.second;
    SortByWeight("ring", zone.ring);
    zone.relays = zone.proxies.empty() ? zone.ring : zone.proxies;
    SortByWeight("relay/" + entry.first.Value(), zone.relays);
    zone.relays.resize(std::min(zone.relays.size(), kRelaysPerZone));
    zone.monitors = zone.proxies;
    if (zone.proxies.size() < kMinProxiesToExemptRelays) continue;
    for (const NodeId& relay : zone.relays) {
      zone.monitors.erase(
          std::find(zone.monitors.begin(), zone.monitors.end(), relay));
    }
  }
}

const ZoneTopology::Zone& ZoneTopology::ZoneOf(
    const AvailabilityZone& zone) const {
  const auto found = this->zones.find(zone);
  return found == this->zones.end() ? this->empty_zone : found->second;
}

const NodeState* ZoneTopology::Find(const NodeId& id) const {
  const auto found = this->nodes.find(id);
  return found == this->nodes.end() ? nullptr : &found->second;
}

std::vector<AvailabilityZone> ZoneTopology::Zones() const {
  std::vector<AvailabilityZone> names;
  for (const auto& entry : this->zones) names.push_back(entry.first);
  return names;
}

const std::vector<NodeId>& ZoneTopology::NodesOf(
    const AvailabilityZone& zone) const {
  return this->ZoneOf(zone).ring;
}

const std::vector<NodeId>& ZoneTopology::RelaysOf(
    const AvailabilityZone& zone) const {
  return this->ZoneOf(zone).relays;
}

bool ZoneTopology::IsRelay(const NodeId& id) const {
  const NodeState* node = this->Find(id);
  if (node == nullptr) return false;
  const std::vector<NodeId>& relays = this->RelaysOf(node->info.zone);
  return std::find(relays.begin(), relays.end(), id) != relays.end();
}

std::vector<NodeId> ZoneTopology::ObserversOf(const NodeId& id) const {
  std::vector<NodeId> observers;
  const NodeState* node = this->Find(id);
  if (node == nullptr) return observers;
  const std::vector<NodeId>& ring = this->NodesOf(node->info.zone);
  const auto self = std::find(ring.begin(), ring.end(), id);
  const auto position = static_cast<std::size_t>(self - ring.begin());
  const std::size_t count = std::min(kObserversPerNode, ring.size() - 1);
  for (std::size_t i = 1; i <= count; ++i) {
    observers.push_back(ring[(position + i) % ring.size()]);
  }
  return observers;
}

const std::vector<NodeId>& ZoneTopology::MonitorCandidates(
    const MemberInfo& member) const {
  const std::vector<NodeId>& zone_monitors = this->ZoneOf(member.zone).monitors;
  return zone_monitors.empty() ? this->all_proxies : zone_monitors;
}

NodeId ZoneTopology::MonitorOf(const MemberInfo& member) const {
  return HighestWeighted(member.id.Value(), this->MonitorCandidates(member));
}

bool ZoneTopology::IsMonitor(const NodeId& id, const MemberInfo& member) const {
  const NodeState* node = this->Find(id);
  if (node == nullptr) return false;
  const bool in_other_zone = node->info.zone != member.zone &&
                             !this->ZoneOf(member.zone).proxies.empty();
  return !in_other_zone && this->MonitorOf(member) == id;
}

}  // namespace lacewingferry
