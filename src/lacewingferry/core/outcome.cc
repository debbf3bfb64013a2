#include "lacewingferry/core/outcome.h"

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

const char* RefusalName(RefusalCode code) {
  switch (code) {
    case RefusalCode::kUnknownDatabase:
      return "unknown_database";
    case RefusalCode::kNoPrimary:
      return "no_primary";
    case RefusalCode::kNoReplicaFreshEnough:
      return "no_replica_fresh_enough";
    case RefusalCode::kOverloaded:
      return "overloaded";
    case RefusalCode::kDeadline:
      return "deadline";
    case RefusalCode::kStopping:
      return "stopping";
    case RefusalCode::kNoOwner:
      return "no_owner";
    case RefusalCode::kUnknownTransaction:
      return "unknown_transaction";
    case RefusalCode::kTransactionAborted:
      return "transaction_aborted";
    case RefusalCode::kInvalidToken:
      return "invalid_token";
    case RefusalCode::kInvalidRequest:
      return "invalid_request";
    case RefusalCode::kMemberUnreachable:
      return "member_unreachable";
    case RefusalCode::kTermLost:
      return "term_lost";
    case RefusalCode::kStarting:
      return "starting";
  }
  throw InternalError("refusal code without a name");
}

}  // namespace lacewingferry
