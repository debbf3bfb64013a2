#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_H_

// Defines NextMemberChange, which decides on the next change of a database's
// members.

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/decisions/failover/lost_member.h"

namespace lacewingferry {

/** One change of a database's members, made because of a new member. */
struct MemberChange {
  /** The new member, added by this change or the next one. */
  MemberId joining;
  /** The member to remove; empty if joining is to be added. */
  MemberId lost;
};

/**
 * The next change that a database needs, if any. While the database has too few
 * members, a new member is added that announces itself in the current term,
 * that is, one that follows the primary. When the database is complete, such a
 * new member replaces the member that has been silent longest, if for at least
 * lost_after and not the primary: this change removes the lost member, and the
 * next one adds the new member. There is no change during a failover.
 */
std::optional<MemberChange> NextMemberChange(
    const DatabaseTerm& entry, const std::vector<MemberLiveness>& servers,
    std::uint32_t group_size, std::chrono::nanoseconds lost_after);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_H_
