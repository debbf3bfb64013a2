#include "lacewingferry/decisions/execution/loss_outcome.h"

namespace lacewingferry {

Outcome LossOutcome(FlightKind kind) {
  switch (kind) {
    case FlightKind::kWrite:
    case FlightKind::kStore:
    case FlightKind::kCommit:
      return UnknownOutcome{"the connection was lost during the commit"};
    case FlightKind::kStatement:
    case FlightKind::kRollback:
      return NotRun{RefusalCode::kTransactionAborted,
                    "the connection was lost and the transaction rolled back"};
    default:
      return NotRun{RefusalCode::kMemberUnreachable,
                    "the connection to the member was lost"};
  }
}

}  // namespace lacewingferry
