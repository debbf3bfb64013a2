#ifndef LACEWINGFERRY_APP_TIMELINE_JSON_H_
#define LACEWINGFERRY_APP_TIMELINE_JSON_H_

// Defines the JSON form of the time line, which is also that of log lines.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lacewingferry/core/timeline_entry.h"
#include "lacewingferry/decisions/timeline/failover_phases.h"

namespace lacewingferry {

/** The form of a log line. */
nlohmann::ordered_json TimelineToJson(const TimelineEntry& entry);

/** A failover with the milliseconds of its phases; null for an unknown one. */
nlohmann::ordered_json FailoverToJson(const Failover& failover);

/** Reads a log line. Throws UserError if it isn't one. */
TimelineEntry TimelineFromJson(const nlohmann::ordered_json& json);

/** Reads a log: one JSON object a line. A line that isn't one, such as the
 * torn last line of a process that was killed, is left out. */
std::vector<TimelineEntry> ReadLogLines(const std::string& text);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_TIMELINE_JSON_H_
