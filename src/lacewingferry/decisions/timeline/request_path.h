#ifndef LACEWINGFERRY_DECISIONS_TIMELINE_REQUEST_PATH_H_
#define LACEWINGFERRY_DECISIONS_TIMELINE_REQUEST_PATH_H_

// Defines FindRequestPath, what the logs of all processes say of one request.

#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/timeline_entry.h"

namespace lacewingferry {

/**
 * The entries that bear on a request, in their order: those of the request
 * itself, and what happened from some seconds before its arrival until shortly
 * after its answer, as far as it concerns its database, the process that
 * answered, or the lead of control. Empty if no entry names the request.
 */
std::vector<TimelineEntry> FindRequestPath(
    const std::vector<TimelineEntry>& merged, const RequestId& request);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TIMELINE_REQUEST_PATH_H_
