#ifndef LACEWINGFERRY_CORE_GROUP_MEMBER_STATE_H_
#define LACEWINGFERRY_CORE_GROUP_MEMBER_STATE_H_

// Defines GroupMemberState, one row of what a member says of itself and, at
// the primary, of its replicas.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** The state of one member as the member that was asked knows it. */
struct GroupMemberState {
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

/** The row about the member that was asked. Throws DecodeError without one. */
const GroupMemberState& SelfState(const std::vector<GroupMemberState>& rows);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_GROUP_MEMBER_STATE_H_
