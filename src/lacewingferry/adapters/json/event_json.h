#ifndef LACEWINGFERRY_ADAPTERS_JSON_EVENT_JSON_H_
#define LACEWINGFERRY_ADAPTERS_JSON_EVENT_JSON_H_

// Defines the JSON form of an event, which is that of a log line.

#include <nlohmann/json.hpp>

#include "lacewingferry/core/timeline_entry.h"

namespace lacewingferry {

/** Writes an event. */
nlohmann::ordered_json EventToJson(const TimelineEntry& entry);

/** Reads what EventToJson writes. Throws UserError for anything else. */
TimelineEntry EventFromJson(const nlohmann::ordered_json& json);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_JSON_EVENT_JSON_H_
