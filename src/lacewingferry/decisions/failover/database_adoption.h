#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_ADOPTION_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_ADOPTION_H_

// Defines with which announced members a database is adopted.

#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/database_command.h"
#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** The command that takes a database into control's care, if its announcements
 * allow it: a majority of group_size members announce themselves in the term
 * of its primary. */
std::optional<DatabaseCommand> NextAdoption(
    const std::vector<MemberAnnouncement>& announced, std::uint32_t group_size);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_ADOPTION_H_
