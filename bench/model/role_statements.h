#ifndef BENCH_MODEL_ROLE_STATEMENTS_H_
#define BENCH_MODEL_ROLE_STATEMENTS_H_

// Defines the form of control's commands and of announcements at the members
// of a fake group.

#include <cstdint>
#include <optional>

#include "bench/model/fake_member.h"
#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry::model {

/** The statement that runs a command on a FakeGroup's member. */
SqlStatement RoleStatementOf(const MemberCommand& command);

/** The result of a command from the statement's row; without one, that the
 * member didn't answer. */
MemberCommandResult ResultOf(const MemberCommand& command,
                             const std::optional<ResultSet>& rows);

/** What a member says of itself now. */
MemberAnnouncement AnnouncementOf(const FakeMember& member,
                                  std::uint64_t sequence);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_ROLE_STATEMENTS_H_
