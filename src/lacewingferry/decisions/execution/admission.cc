#include "lacewingferry/decisions/execution/admission.h"

#include "lacewingferry/decisions/execution/statement_check.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

bool IsRead(const Job& job) { return job.request.kind == RequestKind::kRead; }

}  // namespace

std::optional<NotRun> CheckRole(const AdmissionState& state, const Job& job) {
  if (ChangesConnection(job.request.statement.sql)) {
    return NotRun{RefusalCode::kInvalidRequest,
                  "the statement would change the connection: " +
                      job.request.statement.sql};
  }
  if (state.share == 0) {
    return NotRun{RefusalCode::kNoOwner,
                  "this proxy holds no connection to the member"};
  }
  if (!state.primary && IsRead(job)) return std::nullopt;
  if (!state.primary) {
    return NotRun{RefusalCode::kNoPrimary, "the member is not the primary"};
  }
  if (job.term != 0 && job.term != state.term) {
    return NotRun{RefusalCode::kNoPrimary,
                  "the request was routed by another term"};
  }
  if (!state.may_answer) {
    return NotRun{RefusalCode::kNoPrimary,
                  "this proxy may not answer for the primary now"};
  }
  return std::nullopt;
}

std::optional<NotRun> CheckInTransaction(const OpenTransaction& transaction,
                                         const Job& job) {
  const StatementRequest& request = job.request;
  if (request.kind == RequestKind::kBegin) {
    return NotRun{RefusalCode::kInvalidRequest,
                  "a transaction can't begin inside another"};
  }
  if (ChangesConnection(request.statement.sql)) {
    return NotRun{
        RefusalCode::kInvalidRequest,
        "the statement would change the connection: " + request.statement.sql};
  }
  const bool second_identifier = !request.request_id.Empty() &&
                                 !transaction.request_id.Empty() &&
                                 request.request_id != transaction.request_id;
  if (second_identifier) {
    return NotRun{RefusalCode::kInvalidRequest,
                  "the transaction has another identifier"};
  }
  return std::nullopt;
}

std::optional<NotRun> CheckExpectedWait(
    steady_clock::time_point now, const Job& job, std::size_t ahead,
    std::size_t connections, const LoadEstimate& load,
    std::optional<std::chrono::nanoseconds> max_wait) {
  if (ahead == 0) return std::nullopt;
  const auto needed = load.TimeToAnswer(ahead, connections, !IsRead(job));
  if (now + needed > job.deadline) {
    return NotRun{RefusalCode::kOverloaded,
                  "the expected wait exceeds the time limit"};
  }
  if (max_wait && needed > *max_wait) {
    return NotRun{RefusalCode::kOverloaded,
                  "more is asked of the member than it can serve"};
  }
  return std::nullopt;
}

std::optional<NotRun> CheckTimeLeft(steady_clock::time_point now,
                                    const Job& job, const LoadEstimate& load) {
  if (job.caller_gone && job.caller_gone()) {
    return NotRun{RefusalCode::kDeadline, "the caller no longer waits"};
  }
  if (now + load.TimeToAnswer(0, 1, !IsRead(job)) <= job.deadline) {
    return std::nullopt;
  }
  return NotRun{RefusalCode::kDeadline,
                "no connection was free within the time limit"};
}

}  // namespace lacewingferry
