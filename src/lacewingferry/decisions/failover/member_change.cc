#include "lacewingferry/decisions/failover/member_change.h"

namespace lacewingferry {
namespace {

/** The server heard from last of those that could be added; nullptr if there is
 * none. */
const MemberLiveness* FindNewMember(const DatabaseTerm& entry,
                                    const std::vector<MemberLiveness>& servers,
                                    std::chrono::nanoseconds lost_after) {
  const MemberLiveness* newest = nullptr;
  for (const MemberLiveness& member : servers) {
    const MemberAnnouncement& announcement = member.announcement;
    if (entry.HasMember(announcement.info.id) ||
        announcement.term != entry.term || announcement.primary ||
        announcement.info.leaving || member.silent_for >= lost_after) {
      continue;
    }
    if (newest == nullptr || member.silent_for < newest->silent_for) {
      newest = &member;
    }
  }
  return newest;
}

}  // namespace

std::optional<MemberChange> NextMemberChange(
    const DatabaseTerm& entry, const std::vector<MemberLiveness>& servers,
    std::uint32_t group_size, std::chrono::nanoseconds lost_after) {
  if (entry.phase != TermPhase::kSteady) return std::nullopt;
  const MemberLiveness* joining = FindNewMember(entry, servers, lost_after);
  if (joining == nullptr) return std::nullopt;
  MemberChange change;
  change.joining = joining->announcement.info.id;
  if (!entry.Whole(group_size)) return change;
  const MemberLiveness* lost = FindLostMember(entry, servers, lost_after);
  if (lost == nullptr) return std::nullopt;
  change.lost = lost->announcement.info.id;
  return change;
}

}  // namespace lacewingferry
