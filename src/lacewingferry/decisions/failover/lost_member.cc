#include "lacewingferry/decisions/failover/lost_member.h"

namespace lacewingferry {

const HeardMember* FindLostMember(const DatabaseTerm& entry,
                                  const std::vector<HeardMember>& heard,
                                  std::chrono::nanoseconds lost_after) {
  const HeardMember* lost = nullptr;
  for (const HeardMember& member : heard) {
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
