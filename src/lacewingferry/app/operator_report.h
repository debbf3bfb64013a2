#ifndef LACEWINGFERRY_APP_OPERATOR_REPORT_H_
#define LACEWINGFERRY_APP_OPERATOR_REPORT_H_

// Defines the text that ferryctl prints for a control process's answers.

#include <nlohmann/json.hpp>
#include <string>

namespace lacewingferry {

/** What became of a note; file is the note's path. */
std::string ReportNote(const nlohmann::ordered_json& answer,
                       const std::string& file);

/** What a note would change. */
std::string ReportDiff(const nlohmann::ordered_json& diff);

/** The accepted notes, one a line. */
std::string ReportHistory(const nlohmann::ordered_json& history);

/** Where the configuration is in force. */
std::string ReportStatus(const nlohmann::ordered_json& status);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_OPERATOR_REPORT_H_
