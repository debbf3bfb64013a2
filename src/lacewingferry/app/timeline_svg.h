#ifndef LACEWINGFERRY_APP_TIMELINE_SVG_H_
#define LACEWINGFERRY_APP_TIMELINE_SVG_H_

// Defines TimelineSvg, which draws the time line.

#include <string>
#include <vector>

#include "lacewingferry/core/timeline_entry.h"

namespace lacewingferry {

/** An SVG document with one row for each process, a mark for each event and a
 * bar for each phase of a failover. */
std::string TimelineSvg(const std::vector<TimelineEntry>& merged);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_TIMELINE_SVG_H_
