#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_STATEMENT_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_STATEMENT_H_

// Defines how a command of control becomes a member's statement, and its result
// an answer.

#include <optional>

#include "lacewingferry/core/member_statement.h"
#include "lacewingferry/core/messages/failover_messages.h"

namespace lacewingferry {

/** The statement that carries out a command. */
MemberStatement BuildMemberCommand(const MemberCommand& command);

/** The answer that a statement's result means; none, or one that says nothing
 * of the member, stands for silence. */
MemberCommandResult ReadMemberCommandResult(
    const MemberCommand& command, const std::optional<MemberResult>& result);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_STATEMENT_H_
