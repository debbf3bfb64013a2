#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_LOSS_OUTCOME_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_LOSS_OUTCOME_H_

// The outcome of a request whose connection was lost while one of its batches
// ran.

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/decisions/execution/request_batch.h"

namespace lacewingferry {

/** Returns NotRun if no commit was sent, since the member then rolls back; else
 * UnknownOutcome. */
Outcome ConnectionLossOutcome(RequestBatchKind kind);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_LOSS_OUTCOME_H_
