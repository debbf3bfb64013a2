#include "lacewingferry/decisions/gateway/statement_outcome.h"

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

StatementOutcome OutcomeOf(StatementError answer) {
  switch (answer) {
    case StatementError::kBusy:
    case StatementError::kLagging:
    case StatementError::kReadOnly:
    case StatementError::kUnknownPrepared:
      return StatementOutcome::kNotRun;
    case StatementError::kFailed:
    case StatementError::kTimeout:
      return StatementOutcome::kRan;
    case StatementError::kAborted:
    case StatementError::kMisrouted:
    case StatementError::kTooManyConnections:
    case StatementError::kUnknown:
    case StatementError::kUnauthorized:
    case StatementError::kNoDatabase:
    case StatementError::kTooLarge:
    case StatementError::kMalformed:
      return StatementOutcome::kUnknown;
  }
  throw InternalError("StatementError value without an outcome");
}

StatementError ErrorToTell(StatementError answer) {
  switch (answer) {
    case StatementError::kAborted:
    case StatementError::kMisrouted:
    case StatementError::kTooManyConnections:
      return StatementError::kUnknown;
    default:
      return answer;
  }
}

}  // namespace lacewingferry
