#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_H_

// Defines which change of its members a database needs next.

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/decisions/failover/lost_member.h"

namespace lacewingferry {

/** One change of members, which one new member gives cause to. */
struct MemberChange {
  MemberId newcomer;
  /** The member that goes; empty for an admission. */
  MemberId lost;
};

/**
 * The change that a database needs next, if any. While it isn't whole, a new
 * member is admitted that announces itself in the current term, that is, that
 * follows the primary. When it is whole, such a newcomer takes the place of
 * the member that is silent for longest, if that is at least lost_after and
 * not the primary: first the lost one goes, and with the next change the new
 * one comes. Nothing changes while a failover runs.
 */
std::optional<MemberChange> NextMemberChange(
    const DatabaseTerm& entry, const std::vector<HeardMember>& heard,
    std::uint32_t group_size, std::chrono::nanoseconds lost_after);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_H_
