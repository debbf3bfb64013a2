#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_STATUS_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_STATUS_H_

// Defines MemberStatus, one row of what a member says of itself and, at the
// primary, of its replicas.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** The state of one member as the member that was asked knows it. */
struct MemberStatus {
  MemberId member;
  /** Whether the row is about the member that was asked. */
  bool self = false;
  bool primary = false;
  /** The highest term that the member was told. */
  std::uint64_t term = 0;
  /** The end of the member's synced log. */
  LogPosition durable;
  /** The newest position that reads at the member see. */
  LogPosition applied;
};

/** Reads the rows of the dialect's status statement. Throws DecodeError for
 * rows of another form. */
std::vector<MemberStatus> ParseMemberStatus(const ResultSet& result);

/** The row about the member that was asked. Throws DecodeError without one. */
const MemberStatus& SelfStatus(const std::vector<MemberStatus>& rows);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_STATUS_H_
