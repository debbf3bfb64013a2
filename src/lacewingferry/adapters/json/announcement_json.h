#ifndef LACEWINGFERRY_ADAPTERS_JSON_ANNOUNCEMENT_JSON_H_
#define LACEWINGFERRY_ADAPTERS_JSON_ANNOUNCEMENT_JSON_H_

// Defines the JSON form of a backend server's announcement.

#include <string>

#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** Reads an announcement. Throws UserError that names every field that is
 * wrong. */
MemberAnnouncement ParseAnnouncement(const std::string& body);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_JSON_ANNOUNCEMENT_JSON_H_
