#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_LOST_MEMBER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_LOST_MEMBER_H_

// Defines FindLostMember, which decides whether a database has lost a member.

#include <chrono>
#include <vector>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** A server of a database, and the time since it was last heard from. */
struct MemberLiveness {
  MemberAnnouncement announcement;
  std::chrono::nanoseconds silent_for{0};
};

/** The member that has been silent longest, if for at least lost_after; else
 * nullptr. Never the primary, whose loss is detected by an inquiry. */
const MemberLiveness* FindLostMember(const DatabaseTerm& entry,
                                     const std::vector<MemberLiveness>& servers,
                                     std::chrono::nanoseconds lost_after);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_LOST_MEMBER_H_
