#include "lacewingferry/decisions/failover/database_adoption.h"

#include <algorithm>

namespace lacewingferry {

std::optional<DatabaseCommand> NextAdoption(
    const std::vector<MemberAnnouncement>& announced,
    std::uint32_t group_size) {
  const MemberAnnouncement* primary = nullptr;
  std::uint64_t highest_term = 0;
  for (const MemberAnnouncement& member : announced) {
    highest_term = std::max(highest_term, member.term);
    if (!member.primary) continue;
    if (primary == nullptr || member.term > primary->term) primary = &member;
  }
  if (primary == nullptr || primary->term < highest_term) return std::nullopt;
  AdoptDatabase adopt;
  adopt.database = primary->info.database;
  adopt.term = primary->term;
  adopt.primary = primary->info.id;
  adopt.group_size = group_size;
  for (const MemberAnnouncement& member : announced) {
    if (member.term == primary->term) adopt.members.push_back(member.info.id);
  }
  const std::size_t majority = group_size / 2 + 1;
  if (adopt.members.size() < majority || adopt.members.size() > group_size) {
    return std::nullopt;
  }
  return DatabaseCommand{adopt};
}

}  // namespace lacewingferry
