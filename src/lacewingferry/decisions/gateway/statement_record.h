#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RECORD_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RECORD_H_

// Defines RecordOf, the log entry of a statement that has ended.

#include <chrono>
#include <optional>

#include "lacewingferry/core/events.h"
#include "lacewingferry/decisions/gateway/statement_run.h"

namespace lacewingferry {

/** Whether the log tells of a served statement with an identifier; all
 * processes choose alike. */
bool IsSampled(const RequestId& request);

/** What the log says of a statement; none for those that are left out. What
 * was refused or is unknown is always told; of the others those that are
 * sampled. */
std::optional<Event> RecordOf(std::chrono::steady_clock::time_point now,
                              const StatementRun& run,
                              const ClientReply& reply);

/** The name of an error in logs, for example busy. */
const char* StatementErrorName(StatementError error);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RECORD_H_
