#ifndef LACEWINGFERRY_APP_OPERATOR_JSON_H_
#define LACEWINGFERRY_APP_OPERATOR_JSON_H_

// Defines the JSON form of what operators are told.

#include <nlohmann/json.hpp>
#include <vector>

#include "lacewingferry/core/finding.h"
#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/decisions/configuration/configuration.h"
#include "lacewingferry/decisions/configuration/in_force_tracker.h"
#include "lacewingferry/decisions/configuration/note_diff.h"

namespace lacewingferry {

/** An answer to a note; located are its findings with their places. */
nlohmann::ordered_json ToJson(const NoteAnswer& answer,
                              const std::vector<Finding>& located);

/** What a note would change. */
nlohmann::ordered_json ToJson(const std::vector<ItemDiff>& differences);

/** The accepted notes, oldest first. */
nlohmann::ordered_json ToJson(const std::vector<HistoryEntry>& history);

/** Where the revision in force is in force. */
nlohmann::ordered_json ToJson(const InForceSummary& summary);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_OPERATOR_JSON_H_
