#ifndef LACEWINGFERRY_APP_TIMELINE_JSON_H_
#define LACEWINGFERRY_APP_TIMELINE_JSON_H_

// Defines what the time line reads and writes as JSON besides single events.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lacewingferry/core/timeline_entry.h"
#include "lacewingferry/decisions/timeline/failover_phases.h"

namespace lacewingferry {

/** A failover with the milliseconds of its phases; null for an unknown one. */
nlohmann::ordered_json FailoverToJson(const Failover& failover);

/** Reads a log: one JSON object a line. A line that isn't one, such as the
 * torn last line of a process that was killed, is left out. */
std::vector<TimelineEntry> ReadLogLines(const std::string& text);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_TIMELINE_JSON_H_
