#include "lacewingferry/decisions/execution/job_run.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/execution/loss_outcome.h"
#include "lacewingferry/decisions/session/read_validation.h"

namespace lacewingferry {
namespace {

constexpr char kNotThePrimary[] = "the member is not the primary of this term";

FlightKind FirstFlight(const StatementRequest& request) {
  switch (request.kind) {
    case RequestKind::kBegin:
      return FlightKind::kBegin;
    case RequestKind::kRollback:
      return FlightKind::kRollback;
    case RequestKind::kCommit:
      return request.transaction.Empty() ? FlightKind::kVoid
                                         : FlightKind::kCommit;
    default:
      break;
  }
  if (!request.transaction.Empty()) return FlightKind::kStatement;
  if (request.kind == RequestKind::kRead) return FlightKind::kRead;
  return request.request_id.Empty() ? FlightKind::kWrite : FlightKind::kClaim;
}

const MemberResult& ResultAt(const MemberBatchResult& result,
                             std::size_t place) {
  if (place >= result.results.size()) {
    throw DecodeError("the member answered " +
                      std::to_string(result.results.size()) +
                      " statements of a longer batch");
  }
  return result.results[place];
}

/** What the member said of the group at a place; nothing if the batch ended
 * before it. */
std::vector<GroupMemberState> StateAt(const MemberBatchResult& result,
                                      std::size_t place) {
  if (place >= result.results.size()) return {};
  return result.results[place].state;
}

}  // namespace

JobRun::JobRun(Job run_job, RunContext run_context,
               const RunSettings* run_settings)
    : job(std::move(run_job)),
      context(std::move(run_context)),
      settings(run_settings),
      flight(BuildFlight(FirstFlight(this->job.request), this->job.request)) {}

std::optional<Outcome> JobRun::OnLost() const {
  if (!this->undecided) return std::nullopt;
  return LossOutcome(this->flight.kind);
}

Outcome JobRun::Abandon() {
  this->undecided = false;
  this->abandoned = true;
  if (!this->job.request.transaction.Empty() &&
      this->flight.kind != FlightKind::kCommit) {
    return NotRun{RefusalCode::kTransactionAborted,
                  "the statement took too long; the transaction is rolled "
                  "back"};
  }
  Outcome known = LossOutcome(this->flight.kind);
  if (std::holds_alternative<NotRun>(known)) {
    return NotRun{RefusalCode::kDeadline,
                  "the statement took too long and is rolled back"};
  }
  return UnknownOutcome{"the commit took longer than the time limit"};
}

RunStep JobRun::OnResult(const MemberBatchResult& result) {
  if (std::exchange(this->abandoned, false)) {
    return this->Continue(FlightKind::kCleanUp);
  }
  if (this->flight.kind == FlightKind::kCleanUp) {
    RunStep step;
    step.fate =
        result.error ? ConnectionFate::kClose : ConnectionFate::kReusable;
    return step;
  }
  return result.error ? this->OnFailure(result) : this->OnSuccess(result);
}

bool JobRun::CommitSent() const {
  return std::holds_alternative<UnknownOutcome>(LossOutcome(this->flight.kind));
}

RunStep JobRun::OnSuccess(const MemberBatchResult& result) {
  switch (this->flight.kind) {
    case FlightKind::kRead:
      return this->OnRead(result);
    case FlightKind::kClaim:
      return this->OnClaimed(result);
    case FlightKind::kFind:
      return this->OnFound(result);
    case FlightKind::kCreateTable: {
      const auto rows = StateAt(result, this->flight.status_before);
      RunStep step = this->Continue(FirstFlight(this->job.request));
      step.status = rows;
      return step;
    }
    case FlightKind::kVoid:
      return this->OnVoided(result);
    case FlightKind::kBegin:
      return this->OnBegun(result);
    case FlightKind::kStatement:
      return this->OnStatement(result);
    case FlightKind::kRollback:
      return this->Finish(this->MakeAnswer(), ConnectionFate::kReusable);
    default:
      return this->OnCommitted(result);
  }
}

RunStep JobRun::Continue(FlightKind kind, const std::string& answer) {
  this->flight = BuildFlight(kind, this->job.request, answer);
  RunStep step;
  step.next = this->flight.batch;
  return step;
}

RunStep JobRun::Finish(Outcome outcome, ConnectionFate fate) {
  this->undecided = false;
  RunStep step;
  step.outcome = std::move(outcome);
  step.fate = fate;
  return step;
}

RunStep JobRun::CleanUp(Outcome outcome) {
  RunStep step = this->Continue(FlightKind::kCleanUp);
  this->undecided = false;
  step.outcome = std::move(outcome);
  return step;
}

RunStep JobRun::Hold(Outcome answer,
                     const std::vector<GroupMemberState>& rows) {
  this->undecided = false;
  RunStep step;
  step.fate = ConnectionFate::kReusable;
  step.held =
      HeldAnswer{std::move(answer), SelfState(rows).durable,
                 UnknownOutcome{"no majority holds the write in its term"}};
  step.status = rows;
  return step;
}

bool JobRun::Leads(const std::vector<GroupMemberState>& rows) const {
  const GroupMemberState& self = SelfState(rows);
  return self.primary && self.term == this->context.term;
}

Answered JobRun::MakeAnswer() const {
  Answered answer;
  answer.served_by = this->context.member;
  return answer;
}

RunStep JobRun::OnRead(const MemberBatchResult& result) {
  const auto before = StateAt(result, this->flight.status_before);
  const auto after = StateAt(result, this->flight.status_after);
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
    RunStep refused = this->Finish(*verdict.refusal, ConnectionFate::kReusable);
    refused.status = after;
    return refused;
  }
  Answered answer = this->MakeAnswer();
  answer.result = ResultAt(result, this->flight.statement).rows;
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
    step.held->otherwise =
        NotRun{RefusalCode::kNoPrimary,
               "what the read saw was not confirmed by a majority in time"};
  } else {
    step = this->Finish(answer, ConnectionFate::kReusable);
  }
  step.status = after;
  return step;
}

RunStep JobRun::OnCommitted(const MemberBatchResult& result) {
  const auto rows = StateAt(result, this->flight.status_after);
  if (!this->Leads(rows)) {
    return this->Finish(
        UnknownOutcome{"the primary was replaced during the commit"},
        ConnectionFate::kReusable);
  }
  Answered answer = this->MakeAnswer();
  if (this->flight.statement != Flight::kNoPlace) {
    answer.result = ResultAt(result, this->flight.statement).rows;
  } else {
    answer.result = std::move(this->claimed_rows);
  }
  answer.position = SelfState(rows).durable;
  return this->Hold(std::move(answer), rows);
}

RunStep JobRun::OnClaimed(const MemberBatchResult& result) {
  const auto rows = StateAt(result, this->flight.status_before);
  if (!this->Leads(rows)) {
    return this->CleanUp(NotRun{RefusalCode::kNoPrimary, kNotThePrimary});
  }
  this->claimed_rows = ResultAt(result, this->flight.statement).rows;
  const auto& encode = this->settings->codec.encode;
  RunStep step = this->Continue(
      FlightKind::kStore, encode ? encode(this->claimed_rows) : std::string());
  step.status = rows;
  return step;
}

RunStep JobRun::OnFound(const MemberBatchResult& result) {
  const auto status = StateAt(result, this->flight.status_after);
  if (!this->Leads(status)) {
    return this->Finish(NotRun{RefusalCode::kNoPrimary, kNotThePrimary},
                        ConnectionFate::kReusable);
  }
  const auto& found = ResultAt(result, this->flight.identifier).record;
  if (!found) {
    // The row that stood in the way was rolled back or expired meanwhile.
    return this->Finish(
        NotRun{RefusalCode::kMemberUnreachable, "the identifier was released"},
        ConnectionFate::kReusable);
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
        ConnectionFate::kReusable);
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
  const auto before = StateAt(result, this->flight.status_before);
  const auto after = StateAt(result, this->flight.status_after);
  if (!this->Leads(before) || !this->Leads(after)) {
    return this->Finish(NotRun{RefusalCode::kNoPrimary, kNotThePrimary},
                        ConnectionFate::kReusable);
  }
  return this->Hold(NotRun{RefusalCode::kTransactionAborted,
                           "the transaction was not committed"},
                    after);
}

RunStep JobRun::OnBegun(const MemberBatchResult& result) {
  const auto rows = StateAt(result, this->flight.status_before);
  if (!this->Leads(rows)) {
    return this->CleanUp(NotRun{RefusalCode::kNoPrimary, kNotThePrimary});
  }
  Answered answer = this->MakeAnswer();
  answer.transaction = this->context.next_transaction();
  RunStep step = this->Finish(answer, ConnectionFate::kPinned);
  step.status = rows;
  return step;
}

RunStep JobRun::OnStatement(const MemberBatchResult& result) {
  Answered answer = this->MakeAnswer();
  answer.result = ResultAt(result, this->flight.statement).rows;
  answer.transaction = this->job.request.transaction;
  return this->Finish(answer, ConnectionFate::kPinned);
}

// An identifier's row that can't be written for any other reason than the two
// named is held by an earlier attempt, which must not be called not run.
RunStep JobRun::OnIdentifierFailure(const MemberBatchResult& result) {
  if (result.error->kind == MemberErrorKind::kRecordTaken) {
    return this->Continue(FlightKind::kFind);
  }
  const bool restartable = this->flight.kind != FlightKind::kCommit;
  if (result.error->kind == MemberErrorKind::kNoRecords && restartable &&
      !std::exchange(this->created_table, true)) {
    return this->Continue(FlightKind::kCreateTable);
  }
  return this->CleanUp(UnknownOutcome{"the identifier could not be recorded: " +
                                      result.error->message});
}

RunStep JobRun::OnFailure(const MemberBatchResult& result) {
  const std::size_t failed_at = result.results.size();
  const bool committed = this->flight.commit != Flight::kNoPlace &&
                         failed_at > this->flight.commit;
  if (committed) {
    return this->CleanUp(
        UnknownOutcome{"the member did not tell its state after the commit"});
  }
  if (result.error->kind == MemberErrorKind::kNotPrimary) {
    return this->CleanUp(
        NotRun{RefusalCode::kNoPrimary, result.error->message});
  }
  if (failed_at == this->flight.identifier) {
    return this->OnIdentifierFailure(result);
  }
  const auto rows = StateAt(result, this->flight.status_before);
  const bool replaced =
      this->context.primary && !rows.empty() && !this->Leads(rows);
  if (replaced) {
    return this->CleanUp(NotRun{RefusalCode::kNoPrimary, kNotThePrimary});
  }
  const bool own_statement = this->flight.kind != FlightKind::kCreateTable &&
                             this->flight.kind != FlightKind::kVoid;
  if (!own_statement) {
    return this->CleanUp(
        NotRun{RefusalCode::kMemberUnreachable, result.error->message});
  }
  return this->CleanUp(
      StatementFailed{result.error->code, result.error->message});
}

}  // namespace lacewingferry
