#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_ANNOUNCEMENT_CHECK_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_ANNOUNCEMENT_CHECK_H_

// Declares the validation of the announcements of backend servers.

#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** Throws a UserError that lists all invalid fields of an announcement. */
void CheckAnnouncement(const MemberAnnouncement& announcement);

/** Throws UserError for an announcement that names another database than the
 * member's known one. A member that is still announced keeps its database; an
 * entry of another writer under its ID would take it out of its group. */
void CheckSameDatabase(const MemberAnnouncement& known,
                       const MemberAnnouncement& offered);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_ANNOUNCEMENT_CHECK_H_
