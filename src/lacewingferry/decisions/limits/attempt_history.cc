#include "lacewingferry/decisions/limits/attempt_history.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** Whether another member, or the same one later, may serve the request. */
bool MayRouteAgain(RefusalCode code) {
  return code == RefusalCode::kNoPrimary ||
         code == RefusalCode::kNoReplicaFreshEnough ||
         code == RefusalCode::kNoOwner ||
         code == RefusalCode::kMemberUnreachable;
}

bool InTransaction(const StatementRequest& request) {
  return !request.transaction.Empty();
}

/** Whether an attempt leaves nothing behind unless its answer arrives. */
bool Harmless(const StatementRequest& request) {
  return request.kind == RequestKind::kRead ||
         (request.kind == RequestKind::kBegin && request.request_id.Empty());
}

/** Refusals that come from the identifier's own row, which no earlier attempt
 * of the request can pass. */
bool SettledByIdentifier(RefusalCode code) {
  return code == RefusalCode::kInvalidRequest ||
         code == RefusalCode::kTransactionAborted;
}

/** Whether a refusal of a commit leaves open that an earlier commit of the
 * same transaction succeeded. */
bool CommitMayHaveRun(const StatementRequest& request, const NotRun& refusal) {
  return request.kind == RequestKind::kCommit && InTransaction(request) &&
         !SettledByIdentifier(refusal.code);
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
    const bool again = time_left && !in_transaction &&
                       (MayRouteAgain(refusal->code) ||
                        (overloaded && request.kind == RequestKind::kRead));
    if (!again) return AttemptVerdict::kTell;
    const bool was_sent = refusal->code == RefusalCode::kMemberUnreachable;
    const bool takes = was_sent || overloaded;
    if (takes && !budget.Take()) return AttemptVerdict::kTell;
    return AttemptVerdict::kRetry;
  }
  if (!std::holds_alternative<UnknownOutcome>(outcome)) {
    return AttemptVerdict::kTell;
  }
  if (!Harmless(request)) {
    this->maybe_ran = true;
    this->maybe_term = std::max(this->maybe_term, term);
  }
  const bool identified = !request.request_id.Empty();
  const bool resendable = identified || request.repeatable || Harmless(request);
  if (!time_left || !resendable) return AttemptVerdict::kTell;
  const bool settles =
      in_transaction && identified && request.kind == RequestKind::kCommit;
  if (in_transaction && !settles) return AttemptVerdict::kTell;
  if (!budget.Take()) return AttemptVerdict::kTell;
  return settles ? AttemptVerdict::kSettle : AttemptVerdict::kRetry;
}

Outcome AttemptHistory::Truth(const StatementRequest& request,
                              std::uint64_t term,
                              const Outcome& outcome) const {
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    const bool settled = this->maybe_ran && !request.request_id.Empty() &&
                         SettledByIdentifier(refusal->code);
    const bool open = this->maybe_ran || CommitMayHaveRun(request, *refusal);
    if (open && !settled) return UnknownOutcome{refusal->detail};
  }
  if (const auto* failure = std::get_if<StatementFailed>(&outcome)) {
    const bool settled = term > this->maybe_term;
    if (this->maybe_ran && !settled) return UnknownOutcome{failure->message};
  }
  if (std::holds_alternative<UnknownOutcome>(outcome) && Harmless(request) &&
      !InTransaction(request)) {
    return NotRun{RefusalCode::kMemberUnreachable,
                  std::get<UnknownOutcome>(outcome).detail};
  }
  return outcome;
}

}  // namespace lacewingferry
