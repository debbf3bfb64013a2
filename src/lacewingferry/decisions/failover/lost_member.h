#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_LOST_MEMBER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_LOST_MEMBER_H_

// Defines which member of a database is lost.

#include <chrono>
#include <vector>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** A server of a database, and how long nothing was heard of it. */
struct HeardMember {
  MemberAnnouncement announcement;
  std::chrono::nanoseconds silent_for{0};
};

/** The member that is silent for longest, if that is at least lost_after;
 * nullptr without one. The primary is never lost in this sense; its fall is
 * for failover to find. */
const HeardMember* FindLostMember(const DatabaseTerm& entry,
                                  const std::vector<HeardMember>& heard,
                                  std::chrono::nanoseconds lost_after);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_LOST_MEMBER_H_
