#include "lacewingferry/decisions/ownership/slot_owners.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

/** With two owners a member stays reachable when one proxy dies. */
constexpr std::size_t kOwnersPerMember = 2;

std::vector<NodeId> RankedCandidates(const MemberInfo& member,
                                     const std::vector<ProxyInfo>& proxies,
                                     bool own_zone_only) {
  std::vector<std::pair<std::uint64_t, NodeId>> ranked;
  for (const ProxyInfo& proxy : proxies) {
    if (proxy.draining) continue;
    if (own_zone_only && proxy.zone != member.zone) continue;
    ranked.emplace_back(RendezvousWeight(member.id.Value(), proxy.id.Value()),
                        proxy.id);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<NodeId> ids;
  ids.reserve(ranked.size());
  for (auto& entry : ranked) ids.push_back(std::move(entry.second));
  return ids;
}

}  // namespace

std::vector<SlotShare> AssignSlotOwners(const MemberInfo& member,
                                        const std::vector<ProxyInfo>& proxies) {
  std::vector<NodeId> candidates = RankedCandidates(member, proxies, true);
  if (candidates.empty()) {
    candidates = RankedCandidates(member, proxies, false);
  }
  const std::size_t owners = std::min({candidates.size(), kOwnersPerMember,
                                       static_cast<std::size_t>(member.slots)});
  std::vector<SlotShare> shares;
  for (std::size_t i = 0; i < owners; ++i) {
    const auto base = static_cast<std::uint32_t>(member.slots / owners);
    const std::uint32_t extra = i < member.slots % owners ? 1 : 0;
    shares.push_back(SlotShare{candidates[i], base + extra});
  }
  return shares;
}

std::vector<NodeId> SlotOwnersOf(const MemberInfo& member,
                                 const std::vector<ProxyInfo>& proxies) {
  std::vector<NodeId> owners;
  for (const SlotShare& share : AssignSlotOwners(member, proxies)) {
    owners.push_back(share.owner);
  }
  return owners;
}

}  // namespace lacewingferry
