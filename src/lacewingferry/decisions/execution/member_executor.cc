#include "lacewingferry/decisions/execution/member_executor.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The retry delay for the first log entry of a term. */
constexpr milliseconds kTermEntryRetryDelay{50};
/** The time limit for the first log entry of a term. */
constexpr milliseconds kTermEntryTimeout{1000};
constexpr char kNoUsableConnection[] =
    "no connection to the member serves at present";
/** A replica is unavailable if every connection has had an operation
 * outstanding for this many times the usual hold, and at least for the minimum
 * below. */
constexpr int kUnavailableHolds = 4;
constexpr milliseconds kMinUnavailableTimeout{250};
/** The request identifier of the first log entry of a term. */
RequestId TermEntryId(std::uint64_t term) {
  return RequestId("ferry/term/" + std::to_string(term));
}

/** Creates the executor's own request, which appends an entry to the log. */
Job MakeTermEntry(const DatabaseId& database, std::uint64_t term,
                  steady_clock::time_point deadline) {
  Job job;
  job.request.database = database;
  job.request.kind = RequestKind::kCommit;
  job.request.request_id = TermEntryId(term);
  job.deadline = deadline;
  job.reply = [](const Outcome&) {};
  return job;
}

}  // namespace

MemberExecutor::MemberExecutor(ExecutorHooks hooks, ExecutorSettings settings)
    : may_answer(hooks.may_answer),
      runner(std::move(hooks), std::move(settings)) {}

void MemberExecutor::Configure(steady_clock::time_point now,
                               const ExecutorRole& new_role) {
  const bool lost_primary_role = this->role.primary && !new_role.primary;
  this->role = new_role;
  this->term_entry_at = now;
  this->runner.Configure(new_role);
  if (lost_primary_role) {
    this->RefuseQueued(RefusalCode::kNoPrimary,
                       "the member is no longer the primary");
  }
  this->Dispatch(now);
}

void MemberExecutor::LimitConnections(steady_clock::time_point now,
                                      std::size_t max_connections) {
  this->runner.LimitConnections(max_connections);
  this->Dispatch(now);
}

void MemberExecutor::RefuseQueued(RefusalCode code, const char* detail) {
  // None of these requests was sent, so another member may run them at once.
  for (const Job& job : this->queue.TakeAll()) {
    this->runner.Refuse(job, NotRun{code, detail});
  }
}

void MemberExecutor::OnMemberRemoved(steady_clock::time_point now) {
  ExecutorRole none = this->role;
  none.share = 0;
  none.primary = false;
  this->Configure(now, none);
  this->RefuseQueued(RefusalCode::kNoPrimary, "the member is gone");
  this->control_calls.FailAll();
}

void MemberExecutor::OnGateChanged(steady_clock::time_point now,
                                   std::uint64_t released_term) {
  this->runner.OnGateChanged(now, released_term);
  this->Dispatch(now);
}

void MemberExecutor::OnOpened(steady_clock::time_point now, ConnectionId id) {
  this->runner.OnOpened(now, id);
  this->Dispatch(now);
}

void MemberExecutor::OnLost(steady_clock::time_point now, ConnectionId id,
                            ConnectionFailure failure) {
  this->runner.OnLost(now, id, failure);
  this->RefuseIfUnavailable(now);
  this->Dispatch(now);
}

void MemberExecutor::OnCompleted(steady_clock::time_point now, ConnectionId id,
                                 const MemberBatchResult& result) {
  this->runner.OnCompleted(now, id, result);
  this->Dispatch(now);
}

/** Requests queued for a replica can be served by another member; requests for
 * the primary can't. The timeout grows with the usual duration of requests. */
bool MemberExecutor::IsUnavailable(steady_clock::time_point now) const {
  if (this->role.primary) return false;
  const auto timeout = std::max<std::chrono::nanoseconds>(
      kMinUnavailableTimeout, kUnavailableHolds * this->runner.Load().Hold());
  return this->runner.Pool().IsUnavailable(now, timeout);
}

void MemberExecutor::RefuseIfUnavailable(steady_clock::time_point now) {
  if (this->queue.Size() == 0 || !this->IsUnavailable(now)) return;
  this->RefuseQueued(RefusalCode::kNoOwner, kNoUsableConnection);
}

AdmissionState MemberExecutor::Admission(steady_clock::time_point now) const {
  return AdmissionState{this->role.share, this->role.primary, this->role.term,
                        this->may_answer(now, this->role.term)};
}

void MemberExecutor::Submit(steady_clock::time_point now, Job job) {
  if (!job.request.transaction.Empty()) {
    this->runner.SubmitInTransaction(now, std::move(job));
    return;
  }
  auto refusal = CheckRole(this->Admission(now), job);
  if (!refusal && this->IsUnavailable(now)) {
    refusal = NotRun{RefusalCode::kNoOwner, kNoUsableConnection};
  }
  if (!refusal) {
    refusal = CheckExpectedWait(now, job, this->queue.CountAhead(job),
                                this->runner.Pool().Size(), this->runner.Load(),
                                this->queue_bound.MaxWait());
  }
  if (refusal) {
    this->runner.Refuse(job, *refusal);
    return;
  }
  const auto displaced = this->queue.Push(std::move(job));
  if (displaced) {
    this->runner.Refuse(*displaced,
                        NotRun{RefusalCode::kOverloaded, "the queue is full"});
  }
  this->Dispatch(now);
}

void MemberExecutor::RunControlStatement(steady_clock::time_point now,
                                         ControlCall call) {
  if (this->role.share == 0) {
    call.reply(std::nullopt);
    return;
  }
  const bool changes_role = call.statement.kind != MemberStatementKind::kState;
  this->control_calls.Push(std::move(call));
  this->Dispatch(now);
  if (changes_role && !this->control_calls.Empty()) {
    this->runner.EndIdleTransaction();
    this->Dispatch(now);
  }
}

void MemberExecutor::RequestStatus(steady_clock::time_point now) {
  this->runner.RequestStatus();
  this->Dispatch(now);
}

void MemberExecutor::Dispatch(steady_clock::time_point now) {
  this->runner.Pool().OpenMissing(now);
  if (now >= this->term_entry_at && !this->TermEntryDue(now)) {
    this->term_entry_at = now + kTermEntryRetryDelay;
  }
  for (auto idle = this->runner.Pool().FindIdle(); idle;
       idle = this->runner.Pool().FindIdle()) {
    if (!this->DispatchTo(now, *idle)) break;
  }
  this->runner.PollIfDue(now);
}

bool MemberExecutor::DispatchTo(steady_clock::time_point now, ConnectionId id) {
  if (auto call = this->control_calls.Pop()) {
    this->runner.StartControl(now, id, std::move(*call));
  } else if (this->TermEntryDue(now)) {
    this->term_entry_at = now + kTermEntryRetryDelay;
    this->runner.StartRun(
        now, id,
        MakeTermEntry(this->role.info.database, this->role.term,
                      now + kTermEntryTimeout));
  } else if (this->runner.PollOverdue(now)) {
    this->runner.StartPoll(now, id);
  } else if (auto job = this->NextJob(now)) {
    this->runner.StartRun(now, id, std::move(*job));
  } else {
    return false;
  }
  return true;
}

bool MemberExecutor::TermEntryDue(steady_clock::time_point now) const {
  return this->role.primary && !this->runner.TermBegun() &&
         now >= this->term_entry_at && this->may_answer(now, this->role.term);
}

std::optional<Job> MemberExecutor::NextJob(steady_clock::time_point now) {
  for (auto job = this->queue.Pop(); job; job = this->queue.Pop()) {
    auto refusal = CheckRole(this->Admission(now), *job);
    if (!refusal) {
      refusal = CheckTimeLeft(now, *job, this->runner.Load());
      if (refusal) this->runner.Load().Decay();
    }
    if (!refusal) {
      const LoadEstimate& load = this->runner.Load();
      const auto drain = load.TimeToAnswer(this->queue.Size(),
                                           this->runner.Pool().Size(), false);
      this->queue_bound.OnDequeued(now, drain, load.Hold());
      return job;
    }
    this->runner.Refuse(*job, *refusal);
  }
  return std::nullopt;
}

void MemberExecutor::OnTick(steady_clock::time_point now) {
  this->control_calls.Expire(now);
  for (const Job& job : this->queue.TakeExpired(now)) {
    this->runner.Refuse(job,
                        NotRun{RefusalCode::kDeadline,
                               "no connection was free within the time limit"});
  }
  this->runner.OnTick(now);
  this->RefuseIfUnavailable(now);
  this->Dispatch(now);
}

std::optional<steady_clock::time_point> MemberExecutor::NextWakeup() const {
  std::optional<steady_clock::time_point> next = this->queue.NextDeadline();
  const auto consider = [&next](std::optional<steady_clock::time_point> time) {
    if (time && (!next || *time < *next)) next = time;
  };
  consider(this->control_calls.NextDeadline());
  consider(this->runner.NextWakeup());
  const bool entry_missing = this->role.primary && !this->runner.TermBegun();
  if (entry_missing && this->runner.Pool().FindIdle()) {
    consider(this->term_entry_at);
  }
  return next;
}

std::size_t MemberExecutor::Unfinished() const {
  return this->queue.Size() + this->runner.Unfinished();
}

}  // namespace lacewingferry
