#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_ADOPTION_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_ADOPTION_H_

// Defines NextAdoption, which decides with which members a database is adopted.

#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/database_command.h"
#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** The command by which the control service starts to manage a database. There
 * is none unless a primary announces itself in the highest announced term, and
 * the servers that announce this term are at least a majority of group_size and
 * at most group_size. */
std::optional<DatabaseCommand> NextAdoption(
    const std::vector<MemberAnnouncement>& announced, std::uint32_t group_size);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_ADOPTION_H_
