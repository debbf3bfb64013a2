#include "lacewingferry/core/group_member_state.h"

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

const GroupMemberState& SelfState(const std::vector<GroupMemberState>& rows) {
  for (const GroupMemberState& row : rows) {
    if (row.self) return row;
  }
  throw DecodeError("a member's state has no row about the member itself");
}

}  // namespace lacewingferry
