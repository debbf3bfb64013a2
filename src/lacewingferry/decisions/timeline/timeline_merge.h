#ifndef LACEWINGFERRY_DECISIONS_TIMELINE_TIMELINE_MERGE_H_
#define LACEWINGFERRY_DECISIONS_TIMELINE_TIMELINE_MERGE_H_

// Defines MergeTimelines, one time line of the events of several processes.

#include <vector>

#include "lacewingferry/core/timeline_entry.h"

namespace lacewingferry {

/** Orders the events of all sources by time and then by node. Events of one
 * source and time keep their order. An event that several sources have, such
 * as a log file and its process, stands once. */
std::vector<TimelineEntry> MergeTimelines(
    const std::vector<std::vector<TimelineEntry>>& sources);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TIMELINE_TIMELINE_MERGE_H_
