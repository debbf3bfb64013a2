#include "lacewingferry/decisions/limits/attempt_history.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** Whether another member, or the same one later, may serve the request. */
bool IsRetryable(RefusalCode code) {
  return code == RefusalCode::kNoPrimary ||
         code == RefusalCode::kNoReplicaFreshEnough ||
         code == RefusalCode::kNoOwner ||
         code == RefusalCode::kMemberUnreachable;
}

bool InTransaction(const StatementRequest& request) {
  return !request.transaction.Empty();
}

/** Whether an attempt has no lasting effect unless its answer arrives. */
bool HasNoLastingEffect(const StatementRequest& request) {
  return request.kind == RequestKind::kRead ||
         (request.kind == RequestKind::kBegin && request.request_id.Empty());
}

/** Whether a refusal comes from the identifier's own row, which no earlier
 * attempt of the request can have passed. */
bool IsDecidedByIdentifier(RefusalCode code) {
  return code == RefusalCode::kInvalidRequest ||
         code == RefusalCode::kTransactionAborted;
}

/** Whether an earlier commit of the same transaction may have succeeded
 * although this one was refused. */
bool CommitMayHaveRun(const StatementRequest& request, const NotRun& refusal) {
  return request.kind == RequestKind::kCommit && InTransaction(request) &&
         !IsDecidedByIdentifier(refusal.code);
}

}  // namespace

AttemptVerdict AttemptHistory::Judge(const StatementRequest& request,
                                     std::uint64_t term, const Outcome& outcome,
                                     bool time_left, RetryBudget& budget) {
  const bool in_transaction = InTransaction(request);
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    if (CommitMayHaveRun(request, *refusal)) {
      return this->Judge(request, term, UnknownOutcome{refusal->detail},
                         time_left, budget);
    }
    // Another replica may have room for a read.
    const bool overloaded = refusal->code == RefusalCode::kOverloaded;
    const bool retryable = time_left && !in_transaction &&
                           (IsRetryable(refusal->code) ||
                            (overloaded && request.kind == RequestKind::kRead));
    if (!retryable) return AttemptVerdict::kReport;
    const bool was_sent = refusal->code == RefusalCode::kMemberUnreachable;
    const bool uses_budget = was_sent || overloaded;
    if (uses_budget && !budget.Take()) return AttemptVerdict::kReport;
    return AttemptVerdict::kRetry;
  }
  if (!std::holds_alternative<UnknownOutcome>(outcome)) {
    return AttemptVerdict::kReport;
  }
  if (!HasNoLastingEffect(request)) {
    this->maybe_ran = true;
    this->maybe_ran_term = std::max(this->maybe_ran_term, term);
  }
  const bool identified = !request.request_id.Empty();
  const bool resendable =
      identified || request.repeatable || HasNoLastingEffect(request);
  if (!time_left || !resendable) return AttemptVerdict::kReport;
  const bool looks_up_commit =
      in_transaction && identified && request.kind == RequestKind::kCommit;
  if (in_transaction && !looks_up_commit) return AttemptVerdict::kReport;
  if (!budget.Take()) return AttemptVerdict::kReport;
  return looks_up_commit ? AttemptVerdict::kLookUpCommit
                         : AttemptVerdict::kRetry;
}

Outcome AttemptHistory::FinalOutcome(const StatementRequest& request,
                                     std::uint64_t term,
                                     const Outcome& outcome) const {
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    const bool resolved = this->maybe_ran && !request.request_id.Empty() &&
                          IsDecidedByIdentifier(refusal->code);
    const bool unresolved =
        this->maybe_ran || CommitMayHaveRun(request, *refusal);
    if (unresolved && !resolved) return UnknownOutcome{refusal->detail};
  }
  if (const auto* failure = std::get_if<StatementFailed>(&outcome)) {
    const bool resolved = term > this->maybe_ran_term;
    if (this->maybe_ran && !resolved) return UnknownOutcome{failure->message};
  }
  if (std::holds_alternative<UnknownOutcome>(outcome) &&
      HasNoLastingEffect(request) && !InTransaction(request)) {
    return NotRun{RefusalCode::kMemberUnreachable,
                  std::get<UnknownOutcome>(outcome).detail};
  }
  return outcome;
}

}  // namespace lacewingferry
