#ifndef LACEWINGFERRY_APP_TIMELINE_TEXT_H_
#define LACEWINGFERRY_APP_TIMELINE_TEXT_H_

// Defines how the time line is printed as text and as a JSON document.

#include <string>
#include <vector>

#include "lacewingferry/core/timeline_entry.h"

namespace lacewingferry {

/** One line for each event, and one for each failover with the milliseconds
 * of its phases. */
std::string TimelineText(const std::vector<TimelineEntry>& merged);

/** An object with the lists entries and failovers. */
std::string TimelineDocument(const std::vector<TimelineEntry>& merged);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_TIMELINE_TEXT_H_
