#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_STATEMENT_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_STATEMENT_H_

// Defines how a command of the control service is turned into a statement for a
// member, and the statement's result into an answer.

#include <optional>

#include "lacewingferry/core/member_statement.h"
#include "lacewingferry/core/messages/failover_messages.h"

namespace lacewingferry {

/** The statement that carries out a command. */
MemberStatement BuildMemberStatement(const MemberCommand& command);

/** The answer for a statement's result. Without a result, or with one that
 * lacks the member's state or role, answered is false. */
MemberCommandResult ReadMemberCommandResult(
    const MemberCommand& command, const std::optional<MemberResult>& result);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_STATEMENT_H_
