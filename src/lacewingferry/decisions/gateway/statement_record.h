#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RECORD_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RECORD_H_

// Defines MakeStatementEvent, which makes the log entry of an ended statement.

#include <chrono>
#include <optional>

#include "lacewingferry/core/events.h"
#include "lacewingferry/decisions/gateway/statement_run.h"

namespace lacewingferry {

/** Whether a served statement with this identifier is logged. All processes
 * choose the same identifiers. */
bool IsSampled(const RequestId& request);

/** The log entry of a statement; none if it is not logged. Statements that were
 * refused or whose outcome is unknown are always logged, served ones only if
 * they are sampled. */
std::optional<Event> MakeStatementEvent(
    std::chrono::steady_clock::time_point now, const StatementRun& run,
    const ClientReply& reply);

/** The name of an error in logs, for example busy. */
const char* StatementErrorName(StatementError error);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RECORD_H_
