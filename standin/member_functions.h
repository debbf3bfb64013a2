#ifndef STANDIN_MEMBER_FUNCTIONS_H_
#define STANDIN_MEMBER_FUNCTIONS_H_

// Defines CallMemberFunction, which runs the functions that a member offers in
// SQL.

#include <functional>
#include <string>
#include <vector>

#include "standin/ferry_call.h"
#include "standin/member.h"

namespace lacewingferry::standin {

/** Runs a call at a member; leave announces that the member leaves. Throws
 * SqlError for arguments that can't be read. */
ResultSet CallMemberFunction(Member& member, const std::function<void()>& leave,
                             const FerryCall& call,
                             const std::vector<std::string>& arguments);

}  // namespace lacewingferry::standin

#endif  // STANDIN_MEMBER_FUNCTIONS_H_
