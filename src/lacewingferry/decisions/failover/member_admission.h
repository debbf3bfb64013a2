#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_ADMISSION_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_ADMISSION_H_

// Defines which announced members become members that count.

#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/database_command.h"
#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/**
 * The next change of a database's members that its announcements call for, if
 * any. A database is adopted once a majority of group_size members announce
 * themselves in the term of its primary. Later an unknown member is added
 * when it announces itself in the current term, that is, when it follows the
 * primary; one change at a time, and only while the database isn't whole.
 */
std::optional<DatabaseCommand> NextAdmission(
    const DatabaseTerm* entry, const std::vector<MemberAnnouncement>& announced,
    std::uint32_t group_size);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_ADMISSION_H_
