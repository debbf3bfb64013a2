#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_ANNOUNCEMENT_CHECK_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_ANNOUNCEMENT_CHECK_H_

// Defines the check of a backend server's announcement.

#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** Throws UserError with everything about an announcement that makes no
 * sense. */
void CheckAnnouncement(const MemberAnnouncement& announcement);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_ANNOUNCEMENT_CHECK_H_
