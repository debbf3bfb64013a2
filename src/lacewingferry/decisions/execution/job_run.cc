#include "lacewingferry/decisions/execution/job_run.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/execution/loss_outcome.h"
#include "lacewingferry/decisions/session/read_validation.h"

namespace lacewingferry {
namespace {

constexpr char kNotThePrimary[] = "the member is not the primary of this term";

RequestBatchKind FirstBatchKind(const StatementRequest& request) {
  switch (request.kind) {
    case RequestKind::kBegin:
      return RequestBatchKind::kBegin;
    case RequestKind::kRollback:
      return RequestBatchKind::kRollback;
    case RequestKind::kCommit:
      return request.transaction.Empty() ? RequestBatchKind::kVoid
                                         : RequestBatchKind::kCommit;
    default:
      break;
  }
  if (!request.transaction.Empty()) return RequestBatchKind::kStatement;
  if (request.kind == RequestKind::kRead) return RequestBatchKind::kRead;
  return request.request_id.Empty() ? RequestBatchKind::kWrite
                                    : RequestBatchKind::kClaim;
}

const MemberResult& ResultAt(const MemberBatchResult& result,
                             std::size_t index) {
  if (index >= result.results.size()) {
    throw DecodeError("the member answered " +
                      std::to_string(result.results.size()) +
                      " statements of a longer batch");
  }
  return result.results[index];
}

/** The group state that the member returned at an index; empty if the batch
 * ended before it. */
std::vector<GroupMemberState> StateAt(const MemberBatchResult& result,
                                      std::size_t index) {
  if (index >= result.results.size()) return {};
  return result.results[index].state;
}

}  // namespace

JobRun::JobRun(Job run_job, RunContext run_context,
               const RunSettings* run_settings)
    : job(std::move(run_job)),
      context(std::move(run_context)),
      settings(run_settings),
      request_batch(BuildRequestBatch(FirstBatchKind(this->job.request),
                                      this->job.request)) {}

std::optional<Outcome> JobRun::OnLost() const {
  if (!this->undecided) return std::nullopt;
  return ConnectionLossOutcome(this->request_batch.kind);
}

Outcome JobRun::Abandon() {
  this->undecided = false;
  this->abandoned = true;
  if (!this->job.request.transaction.Empty() &&
      this->request_batch.kind != RequestBatchKind::kCommit) {
    return NotRun{RefusalCode::kTransactionAborted,
                  "the statement took too long; the transaction is rolled "
                  "back"};
  }
  Outcome known = ConnectionLossOutcome(this->request_batch.kind);
  if (std::holds_alternative<NotRun>(known)) {
    return NotRun{RefusalCode::kDeadline,
                  "the statement took too long and is rolled back"};
  }
  return UnknownOutcome{"the commit took longer than the time limit"};
}

RunStep JobRun::OnResult(const MemberBatchResult& result) {
  if (std::exchange(this->abandoned, false)) {
    return this->Continue(RequestBatchKind::kCleanUp);
  }
  if (this->request_batch.kind == RequestBatchKind::kCleanUp) {
    RunStep step;
    step.disposition = result.error ? ConnectionDisposition::kClose
                                    : ConnectionDisposition::kReusable;
    return step;
  }
  return result.error ? this->OnFailure(result) : this->OnSuccess(result);
}

bool JobRun::CommitSent() const {
  return std::holds_alternative<UnknownOutcome>(
      ConnectionLossOutcome(this->request_batch.kind));
}

RunStep JobRun::OnSuccess(const MemberBatchResult& result) {
  switch (this->request_batch.kind) {
    case RequestBatchKind::kRead:
      return this->OnRead(result);
    case RequestBatchKind::kClaim:
      return this->OnClaimed(result);
    case RequestBatchKind::kFind:
      return this->OnFound(result);
    case RequestBatchKind::kCreateTable: {
      const auto rows = StateAt(result, this->request_batch.status_before);
      RunStep step = this->Continue(FirstBatchKind(this->job.request));
      step.status = rows;
      return step;
    }
    case RequestBatchKind::kVoid:
      return this->OnVoided(result);
    case RequestBatchKind::kBegin:
      return this->OnBegun(result);
    case RequestBatchKind::kStatement:
      return this->OnStatement(result);
    case RequestBatchKind::kRollback:
      return this->Finish(this->MakeAnswer(), ConnectionDisposition::kReusable);
    default:
      return this->OnCommitted(result);
  }
}

RunStep JobRun::Continue(RequestBatchKind kind, const std::string& answer) {
  this->request_batch = BuildRequestBatch(kind, this->job.request, answer);
  RunStep step;
  step.next = this->request_batch.batch;
  return step;
}

RunStep JobRun::Finish(Outcome outcome, ConnectionDisposition disposition) {
  this->undecided = false;
  RunStep step;
  step.outcome = std::move(outcome);
  step.disposition = disposition;
  return step;
}

RunStep JobRun::CleanUp(Outcome outcome) {
  RunStep step = this->Continue(RequestBatchKind::kCleanUp);
  this->undecided = false;
  step.outcome = std::move(outcome);
  return step;
}

RunStep JobRun::Hold(Outcome answer,
                     const std::vector<GroupMemberState>& rows) {
  this->undecided = false;
  RunStep step;
  step.disposition = ConnectionDisposition::kReusable;
  step.held =
      HeldAnswer{std::move(answer), SelfState(rows).durable,
                 UnknownOutcome{"no majority holds the write in its term"}};
  step.status = rows;
  return step;
}

bool JobRun::IsPrimaryOfTerm(const std::vector<GroupMemberState>& rows) const {
  const GroupMemberState& self = SelfState(rows);
  return self.primary && self.term == this->context.term;
}

Answered JobRun::MakeAnswer() const {
  Answered answer;
  answer.served_by = this->context.member;
  return answer;
}

RunStep JobRun::OnRead(const MemberBatchResult& result) {
  const auto before = StateAt(result, this->request_batch.status_before);
  const auto after = StateAt(result, this->request_batch.status_after);
  ReadObservation evidence;
  evidence.before = SelfState(before);
  evidence.after = SelfState(after);
  evidence.primary = this->context.primary;
  evidence.view_term = this->context.term;
  evidence.group_size = this->context.group_size;
  evidence.counts_toward_majority = this->context.counted;
  evidence.session_position = this->job.request.session_position;
  evidence.max_age = this->job.request.max_age;
  evidence.fresh_position = this->job.request.fresh_position;
  if (!this->context.primary) {
    evidence.age = this->context.age_of(evidence.before.applied);
  }
  const ReadValidation verdict = ValidateRead(evidence);
  if (verdict.refusal) {
    RunStep refused =
        this->Finish(*verdict.refusal, ConnectionDisposition::kReusable);
    refused.status = after;
    return refused;
  }
  Answered answer = this->MakeAnswer();
  answer.result = ResultAt(result, this->request_batch.statement).rows;
  answer.served_by_replica = !this->context.primary;
  answer.position = verdict.position;
  if (!this->context.primary) answer.applied = evidence.before.applied;
  if (evidence.age) {
    answer.age_bound =
        std::chrono::ceil<std::chrono::milliseconds>(*evidence.age);
  }
  RunStep step;
  if (this->context.primary) {
    step = this->Hold(answer, after);
    step.held->fallback =
        NotRun{RefusalCode::kNoPrimary,
               "what the read saw was not confirmed by a majority in time"};
  } else {
    step = this->Finish(answer, ConnectionDisposition::kReusable);
  }
  step.status = after;
  return step;
}

RunStep JobRun::OnCommitted(const MemberBatchResult& result) {
  const auto rows = StateAt(result, this->request_batch.status_after);
  if (!this->IsPrimaryOfTerm(rows)) {
    return this->Finish(
        UnknownOutcome{"the primary was replaced during the commit"},
        ConnectionDisposition::kReusable);
  }
  Answered answer = this->MakeAnswer();
  if (this->request_batch.statement != RequestBatch::kNoIndex) {
    answer.result = ResultAt(result, this->request_batch.statement).rows;
  } else {
    answer.result = std::move(this->claimed_rows);
  }
  answer.position = SelfState(rows).durable;
  return this->Hold(std::move(answer), rows);
}

RunStep JobRun::OnClaimed(const MemberBatchResult& result) {
  const auto rows = StateAt(result, this->request_batch.status_before);
  if (!this->IsPrimaryOfTerm(rows)) {
    return this->CleanUp(NotRun{RefusalCode::kNoPrimary, kNotThePrimary});
  }
  this->claimed_rows = ResultAt(result, this->request_batch.statement).rows;
  const auto& encode = this->settings->codec.encode;
  RunStep step =
      this->Continue(RequestBatchKind::kStore,
                     encode ? encode(this->claimed_rows) : std::string());
  step.status = rows;
  return step;
}

RunStep JobRun::OnFound(const MemberBatchResult& result) {
  const auto status = StateAt(result, this->request_batch.status_after);
  if (!this->IsPrimaryOfTerm(status)) {
    return this->Finish(NotRun{RefusalCode::kNoPrimary, kNotThePrimary},
                        ConnectionDisposition::kReusable);
  }
  const auto& found = ResultAt(result, this->request_batch.identifier).record;
  if (!found) {
    // The conflicting row was rolled back or expired in the meantime.
    return this->Finish(
        NotRun{RefusalCode::kMemberUnreachable, "the identifier was released"},
        ConnectionDisposition::kReusable);
  }
  const StatementRequest& request = this->job.request;
  const bool transaction = request.kind != RequestKind::kWrite;
  const std::string own = transaction ? std::string(kTransactionDigest)
                                      : StatementDigest(request.statement);
  if (found->digest == kVoidDigest) {
    return this->Hold(NotRun{RefusalCode::kTransactionAborted,
                             "the identifier was given up; use a new one"},
                      status);
  }
  if (found->digest != own) {
    return this->Finish(
        NotRun{RefusalCode::kInvalidRequest,
               "the identifier belongs to a different statement"},
        ConnectionDisposition::kReusable);
  }
  Answered answer = this->MakeAnswer();
  answer.repeated = true;
  answer.position = SelfState(status).durable;
  const auto& decode = this->settings->codec.decode;
  if (decode && found->answer && !found->answer->empty()) {
    answer.result = decode(*found->answer);
  }
  return this->Hold(std::move(answer), status);
}

RunStep JobRun::OnVoided(const MemberBatchResult& result) {
  const auto before = StateAt(result, this->request_batch.status_before);
  const auto after = StateAt(result, this->request_batch.status_after);
  if (!this->IsPrimaryOfTerm(before) || !this->IsPrimaryOfTerm(after)) {
    return this->Finish(NotRun{RefusalCode::kNoPrimary, kNotThePrimary},
                        ConnectionDisposition::kReusable);
  }
  return this->Hold(NotRun{RefusalCode::kTransactionAborted,
                           "the transaction was not committed"},
                    after);
}

RunStep JobRun::OnBegun(const MemberBatchResult& result) {
  const auto rows = StateAt(result, this->request_batch.status_before);
  if (!this->IsPrimaryOfTerm(rows)) {
    return this->CleanUp(NotRun{RefusalCode::kNoPrimary, kNotThePrimary});
  }
  Answered answer = this->MakeAnswer();
  answer.transaction = this->context.next_transaction();
  RunStep step = this->Finish(answer, ConnectionDisposition::kPinned);
  step.status = rows;
  return step;
}

RunStep JobRun::OnStatement(const MemberBatchResult& result) {
  Answered answer = this->MakeAnswer();
  answer.result = ResultAt(result, this->request_batch.statement).rows;
  answer.transaction = this->job.request.transaction;
  return this->Finish(answer, ConnectionDisposition::kPinned);
}

// If the identifier can't be recorded for a reason other than kRecordTaken and
// kNoRecords, an earlier attempt holds its row and may still commit. The
// outcome is therefore unknown and must not be reported as NotRun.
RunStep JobRun::OnIdentifierFailure(const MemberBatchResult& result) {
  if (result.error->kind == MemberErrorKind::kRecordTaken) {
    return this->Continue(RequestBatchKind::kFind);
  }
  const bool restartable =
      this->request_batch.kind != RequestBatchKind::kCommit;
  if (result.error->kind == MemberErrorKind::kNoRecords && restartable &&
      !std::exchange(this->created_table, true)) {
    return this->Continue(RequestBatchKind::kCreateTable);
  }
  return this->CleanUp(UnknownOutcome{"the identifier could not be recorded: " +
                                      result.error->message});
}

RunStep JobRun::OnFailure(const MemberBatchResult& result) {
  const std::size_t failed_at = result.results.size();
  const bool committed = this->request_batch.commit != RequestBatch::kNoIndex &&
                         failed_at > this->request_batch.commit;
  if (committed) {
    return this->CleanUp(
        UnknownOutcome{"the member did not tell its state after the commit"});
  }
  const bool unknown = result.error->kind == MemberErrorKind::kOutcomeUnknown;
  if (unknown && this->CommitSent()) {
    return this->CleanUp(
        UnknownOutcome{"the member doesn't know the result of the commit"});
  }
  if (result.error->kind == MemberErrorKind::kNotPrimary) {
    return this->CleanUp(
        NotRun{RefusalCode::kNoPrimary, result.error->message});
  }
  if (failed_at == this->request_batch.identifier) {
    return this->OnIdentifierFailure(result);
  }
  const auto rows = StateAt(result, this->request_batch.status_before);
  const bool replaced =
      this->context.primary && !rows.empty() && !this->IsPrimaryOfTerm(rows);
  if (replaced) {
    return this->CleanUp(NotRun{RefusalCode::kNoPrimary, kNotThePrimary});
  }
  const bool own_statement =
      this->request_batch.kind != RequestBatchKind::kCreateTable &&
      this->request_batch.kind != RequestBatchKind::kVoid;
  if (!own_statement) {
    return this->CleanUp(
        NotRun{RefusalCode::kMemberUnreachable, result.error->message});
  }
  return this->CleanUp(
      StatementFailed{result.error->code, result.error->message});
}

}  // namespace lacewingferry
