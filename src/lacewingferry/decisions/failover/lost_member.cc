#include "lacewingferry/decisions/failover/lost_member.h"

namespace lacewingferry {

const MemberLiveness* FindLostMember(const DatabaseTerm& entry,
                                     const std::vector<MemberLiveness>& servers,
                                     std::chrono::nanoseconds lost_after) {
  const MemberLiveness* lost = nullptr;
  for (const MemberLiveness& member : servers) {
    const MemberId& id = member.announcement.info.id;
    if (!entry.HasMember(id) || id == entry.primary) continue;
    if (member.silent_for < lost_after) continue;
    if (lost == nullptr || member.silent_for > lost->silent_for) {
      lost = &member;
    }
  }
  return lost;
}

}  // namespace lacewingferry
