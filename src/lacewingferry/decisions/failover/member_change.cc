#include "lacewingferry/decisions/failover/member_change.h"

namespace lacewingferry {
namespace {

/** The newcomer that was heard last; nullptr without one. */
const HeardMember* FindNewcomer(const DatabaseTerm& entry,
                                const std::vector<HeardMember>& heard,
                                std::chrono::nanoseconds lost_after) {
  const HeardMember* newest = nullptr;
  for (const HeardMember& member : heard) {
    const MemberAnnouncement& said = member.announcement;
    if (entry.HasMember(said.info.id) || said.term != entry.term ||
        said.primary || said.info.leaving || member.silent_for >= lost_after) {
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
    const DatabaseTerm& entry, const std::vector<HeardMember>& heard,
    std::uint32_t group_size, std::chrono::nanoseconds lost_after) {
  if (entry.phase != TermPhase::kSteady) return std::nullopt;
  const HeardMember* newcomer = FindNewcomer(entry, heard, lost_after);
  if (newcomer == nullptr) return std::nullopt;
  MemberChange change;
  change.newcomer = newcomer->announcement.info.id;
  if (!entry.Whole(group_size)) return change;
  const HeardMember* lost = FindLostMember(entry, heard, lost_after);
  if (lost == nullptr) return std::nullopt;
  change.lost = lost->announcement.info.id;
  return change;
}

}  // namespace lacewingferry
