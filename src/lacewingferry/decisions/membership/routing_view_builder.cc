#include "lacewingferry/decisions/membership/routing_view_builder.h"

#include <utility>

#include "lacewingferry/decisions/ownership/rendezvous.h"
#include "lacewingferry/decisions/ownership/slot_owners.h"

namespace lacewingferry {
namespace {

/** Of several members that claim to be primary, the one with the highest term
 * becomes the primary, and its term the term of the database. */
void UpdatePrimary(const MemberAnnouncement& announcement,
                   DatabaseView& database) {
  if (!announcement.primary || announcement.term < database.term) return;
  database.term = announcement.term;
  database.primary = announcement.info.id;
}

}  // namespace

void RoutingViewBuilder::AddCandidate(const ProxyInfo& proxy,
                                      Candidates& candidates) {
  if (proxy.draining) return;
  candidates.proxies.push_back(proxy);
  candidates.fingerprint ^=
      RendezvousWeight(proxy.zone.Value(), proxy.id.Value());
}

const std::vector<SlotShare>& RoutingViewBuilder::OwnersOf(
    const MemberInfo& member, const Candidates& candidates,
    std::map<MemberId, CachedOwners>& still_used) {
  CachedOwners& cached = this->cached_owners[member.id];
  if (cached.fingerprint != candidates.fingerprint ||
      cached.slots != member.slots) {
    cached.fingerprint = candidates.fingerprint;
    cached.slots = member.slots;
    cached.shares = AssignSlotOwners(member, candidates.proxies);
  }
  return (still_used[member.id] = std::move(cached)).shares;
}

RoutingView RoutingViewBuilder::Build(
    const MembershipTable& table,
    const std::set<AvailabilityZone>& excluded_zones) {
  RoutingView view;
  std::map<AvailabilityZone, Candidates> candidates_by_zone;
  Candidates all;
  table.ForEachNode([&](const NodeState& node) {
    if (node.role != NodeRole::kProxy) return;
    if (excluded_zones.count(node.info.zone) != 0) return;
    view.proxies.push_back(node.info);
    AddCandidate(node.info, candidates_by_zone[node.info.zone]);
    AddCandidate(node.info, all);
  });
  std::map<MemberId, CachedOwners> still_used;
  table.ForEachMember([&](const MemberAnnouncement& announcement) {
    const MemberInfo& info = announcement.info;
    if (excluded_zones.count(info.zone) != 0) return;
    const Candidates& in_zone = candidates_by_zone[info.zone];
    const Candidates& candidates = in_zone.proxies.empty() ? all : in_zone;
    DatabaseView& database = view.databases[info.database];
    database.id = info.database;
    database.group = info.group;
    database.members.push_back(
        RoutedMember{info, this->OwnersOf(info, candidates, still_used)});
    UpdatePrimary(announcement, database);
  });
  this->cached_owners = std::move(still_used);
  return view;
}

}  // namespace lacewingferry
