#ifndef LACEWINGFERRY_DECISIONS_TIMELINE_REQUEST_PATH_H_
#define LACEWINGFERRY_DECISIONS_TIMELINE_REQUEST_PATH_H_

// Defines FindRequestPath, which finds the events related to one request in the
// logs of all processes.

#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/timeline_entry.h"

namespace lacewingferry {

/**
 * Returns the entries that are related to a request, in order: those of the
 * request itself, and those from 10 s before its arrival until 1 s after its
 * answer that concern its database, the process that answered it, or a change
 * of the control leader. Empty if no entry names the request.
 */
std::vector<TimelineEntry> FindRequestPath(
    const std::vector<TimelineEntry>& merged, const RequestId& request);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TIMELINE_REQUEST_PATH_H_
