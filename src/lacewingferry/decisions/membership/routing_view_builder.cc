#include "lacewingferry/decisions/membership/routing_view_builder.h"

#include <utility>

#include "lacewingferry/decisions/ownership/rendezvous.h"
#include "lacewingferry/decisions/ownership/slot_owners.h"

namespace lacewingferry {
namespace {

/** The primary of the highest term leads; its database's term is that. */
void CountPrimary(const MemberAnnouncement& announcement,
                  DatabaseView& database) {
  if (!announcement.primary || announcement.term < database.term) return;
  database.term = announcement.term;
  database.primary = announcement.info.id;
}

}  // namespace

void RoutingViewBuilder::Add(const ProxyInfo& proxy, Candidates& candidates) {
  if (proxy.draining) return;
  candidates.proxies.push_back(proxy);
  candidates.fingerprint ^=
      RendezvousWeight(proxy.zone.Value(), proxy.id.Value());
}

const std::vector<SlotShare>& RoutingViewBuilder::OwnersOf(
    const MemberInfo& member, const Candidates& candidates,
    std::map<MemberId, Owners>& kept) {
  Owners& known = this->owners[member.id];
  if (known.fingerprint != candidates.fingerprint ||
      known.slots != member.slots) {
    known.fingerprint = candidates.fingerprint;
    known.slots = member.slots;
    known.shares = AssignSlotOwners(member, candidates.proxies);
  }
  return (kept[member.id] = std::move(known)).shares;
}

RoutingView RoutingViewBuilder::Build(
    const MembershipTable& table, const std::set<AvailabilityZone>& left_out) {
  RoutingView view;
  std::map<AvailabilityZone, Candidates> by_zone;
  Candidates all;
  table.EachNode([&](const NodeState& node) {
    if (node.role != NodeRole::kProxy) return;
    if (left_out.count(node.info.zone) != 0) return;
    view.proxies.push_back(node.info);
    Add(node.info, by_zone[node.info.zone]);
    Add(node.info, all);
  });
  std::map<MemberId, Owners> kept;
  table.EachMember([&](const MemberAnnouncement& announcement) {
    const MemberInfo& info = announcement.info;
    if (left_out.count(info.zone) != 0) return;
    const Candidates& own = by_zone[info.zone];
    const Candidates& candidates = own.proxies.empty() ? all : own;
    DatabaseView& database = view.databases[info.database];
    database.id = info.database;
    database.group = info.group;
    database.members.push_back(
        RoutedMember{info, this->OwnersOf(info, candidates, kept)});
    CountPrimary(announcement, database);
  });
  this->owners = std::move(kept);
  return view;
}

}  // namespace lacewingferry
