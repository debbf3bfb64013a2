#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_SQL_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_SQL_H_

// Defines how a command of control becomes a statement of the members'
// dialect, and its rows an answer.

#include <optional>

#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/core/settings.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** The statement that carries out a command. */
SqlStatement BuildMemberCommand(const MemberDialect& dialect,
                                const MemberCommand& command);

/** The answer that a member's rows mean; no rows stand for silence. Rows of
 * another form than the dialect's mean silence too. */
MemberCommandResult ReadMemberCommandResult(
    const MemberCommand& command, const std::optional<ResultSet>& rows);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_SQL_H_
