#include "lacewingferry/decisions/execution/loss_outcome.h"

namespace lacewingferry {

Outcome ConnectionLossOutcome(RequestBatchKind kind) {
  switch (kind) {
    case RequestBatchKind::kWrite:
    case RequestBatchKind::kStore:
    case RequestBatchKind::kCommit:
      return UnknownOutcome{"the connection was lost during the commit"};
    case RequestBatchKind::kStatement:
    case RequestBatchKind::kRollback:
      return NotRun{RefusalCode::kTransactionAborted,
                    "the connection was lost and the transaction rolled back"};
    default:
      return NotRun{RefusalCode::kMemberUnreachable,
                    "the connection to the member was lost"};
  }
}

}  // namespace lacewingferry
