#include "lacewingferry/decisions/traffic/read_routing.h"

namespace lacewingferry {
namespace {

/**
 * Whether a replica can prove that it serves a read. A session that has no
 * position to show has to read at the primary.
 */
bool ReplicaMayServe(const StatementRequest& request) {
  if (request.kind != RequestKind::kRead) return false;
  if (!request.transaction.Empty()) return false;
  return request.session_position.has_value();
}

bool Usable(const RoutedMember& member, const std::set<MemberId>& excluded) {
  return !member.info.leaving && !member.owners.empty() &&
         excluded.count(member.info.id) == 0;
}

}  // namespace

const RoutedMember* FindMember(const DatabaseView& view, const MemberId& id) {
  for (const RoutedMember& member : view.members) {
    if (member.info.id == id) return &member;
  }
  return nullptr;
}

const RoutedMember* ChooseMember(const DatabaseView& view,
                                 const AvailabilityZone& own_zone,
                                 const StatementRequest& request,
                                 const std::set<MemberId>& excluded) {
  const RoutedMember* chosen = nullptr;
  if (ReplicaMayServe(request)) {
    for (const RoutedMember& member : view.members) {
      if (member.info.id == view.primary || !Usable(member, excluded)) continue;
      if (chosen == nullptr || member.info.zone == own_zone) chosen = &member;
    }
  }
  if (chosen != nullptr) return chosen;
  const RoutedMember* primary = FindMember(view, view.primary);
  const bool usable = primary != nullptr && !primary->owners.empty() &&
                      excluded.count(primary->info.id) == 0;
  return usable ? primary : nullptr;
}

}  // namespace lacewingferry
