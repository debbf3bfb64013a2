#ifndef STANDIN_LOG_LINE_H_
#define STANDIN_LOG_LINE_H_

// Defines LogLine, which writes one entry of the program's log.

#include <string>
#include <utility>
#include <vector>

namespace lacewingferry::standin {

/** The named fields of a log entry. */
using LogFields = std::vector<std::pair<std::string, std::string>>;

/** Writes an entry to standard error as one JSON object on a line. */
void LogLine(const std::string& event, const LogFields& fields);

}  // namespace lacewingferry::standin

#endif  // STANDIN_LOG_LINE_H_
