#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_ANNOUNCEMENT_CHECK_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_ANNOUNCEMENT_CHECK_H_

// Declares the validation of the announcements of backend servers.

#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** Throws a UserError that lists all invalid fields of an announcement. */
void CheckAnnouncement(const MemberAnnouncement& announcement);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_ANNOUNCEMENT_CHECK_H_
