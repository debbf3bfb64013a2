#ifndef LACEWINGFERRY_DECISIONS_TIMELINE_TIMELINE_MERGE_H_
#define LACEWINGFERRY_DECISIONS_TIMELINE_TIMELINE_MERGE_H_

// Defines MergeTimelines, which merges the events of several processes into one
// timeline.

#include <vector>

#include "lacewingferry/core/timeline_entry.h"

namespace lacewingferry {

/** Orders the events of all sources by time and then by process. Events of one
 * process and time keep their order within a source. An event that several
 * sources contain, such as a log file and the process that wrote it, is listed
 * once. */
std::vector<TimelineEntry> MergeTimelines(
    const std::vector<std::vector<TimelineEntry>>& sources);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TIMELINE_TIMELINE_MERGE_H_
