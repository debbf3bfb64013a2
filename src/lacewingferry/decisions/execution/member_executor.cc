#include "lacewingferry/decisions/execution/member_executor.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The pause before the first entry of a term is tried again. */
constexpr milliseconds kTermEntryPause{50};
/** How long the first entry of a term may take. */
constexpr milliseconds kTermEntryLimit{1000};
constexpr char kNotServing[] = "no connection to the member serves at present";
/** A replica whose connections have all been outstanding for so many times the
 * usual hold, and this at the least, doesn't serve. */
constexpr int kPatienceHolds = 4;
constexpr milliseconds kLeastPatience{250};
/** The identifier under which a term's first entry is written. */
RequestId TermEntryId(std::uint64_t term) {
  return RequestId("ferry/term/" + std::to_string(term));
}

/** A request of the executor's own that appends an entry to the log. */
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
      runs(std::move(hooks), std::move(settings)) {}

void MemberExecutor::Configure(steady_clock::time_point now,
                               const ExecutorRole& new_role) {
  const bool lost_office = this->role.primary && !new_role.primary;
  this->role = new_role;
  this->term_entry_at = now;
  this->runs.Configure(new_role);
  if (lost_office) {
    this->RefuseQueued(RefusalCode::kNoPrimary,
                       "the member is no longer the primary");
  }
  this->Dispatch(now);
}

void MemberExecutor::LimitConnections(steady_clock::time_point now,
                                      std::size_t most) {
  this->runs.LimitConnections(most);
  this->Dispatch(now);
}

void MemberExecutor::RefuseQueued(RefusalCode code, const char* detail) {
  // None of these was sent, so another member may take them at once.
  for (const Job& job : this->queue.TakeAll()) {
    this->runs.Refuse(job, NotRun{code, detail});
  }
}

void MemberExecutor::Withdraw(steady_clock::time_point now) {
  ExecutorRole none = this->role;
  none.share = 0;
  none.primary = false;
  this->Configure(now, none);
  this->RefuseQueued(RefusalCode::kNoPrimary, "the member is gone");
  this->control_calls.FailAll();
}

void MemberExecutor::OnGateChanged(steady_clock::time_point now,
                                   std::uint64_t released_term) {
  this->runs.OnGateChanged(now, released_term);
  this->Dispatch(now);
}

void MemberExecutor::OnOpened(steady_clock::time_point now, ConnectionId id) {
  this->runs.OnOpened(now, id);
  this->Dispatch(now);
}

void MemberExecutor::OnLost(steady_clock::time_point now, ConnectionId id,
                            ConnectionFailure failure) {
  this->runs.OnLost(now, id, failure);
  this->RefuseIfUnserving(now);
  this->Dispatch(now);
}

void MemberExecutor::OnCompleted(steady_clock::time_point now, ConnectionId id,
                                 const MemberBatchResult& result) {
  this->runs.OnCompleted(now, id, result);
  this->Dispatch(now);
}

/** What waits for a replica may be served elsewhere; what waits for the primary
 * may not. Where statements usually take long, so does the patience. */
bool MemberExecutor::Unserving(steady_clock::time_point now) const {
  if (this->role.primary) return false;
  const auto patience = std::max<std::chrono::nanoseconds>(
      kLeastPatience, kPatienceHolds * this->runs.Load().Hold());
  return this->runs.Pool().Unserving(now, patience);
}

void MemberExecutor::RefuseIfUnserving(steady_clock::time_point now) {
  if (this->queue.Size() == 0 || !this->Unserving(now)) return;
  this->RefuseQueued(RefusalCode::kNoOwner, kNotServing);
}

AdmissionState MemberExecutor::Admission(steady_clock::time_point now) const {
  return AdmissionState{this->role.share, this->role.primary, this->role.term,
                        this->may_answer(now, this->role.term)};
}

void MemberExecutor::Submit(steady_clock::time_point now, Job job) {
  if (!job.request.transaction.Empty()) {
    this->runs.SubmitInTransaction(now, std::move(job));
    return;
  }
  auto refusal = CheckRole(this->Admission(now), job);
  if (!refusal && this->Unserving(now)) {
    refusal = NotRun{RefusalCode::kNoOwner, kNotServing};
  }
  if (!refusal) {
    refusal = CheckExpectedWait(now, job, this->queue.CountAhead(job),
                                this->runs.Pool().Size(), this->runs.Load(),
                                this->queue_bound.MaxWait());
  }
  if (refusal) {
    this->runs.Refuse(job, *refusal);
    return;
  }
  const auto displaced = this->queue.Push(std::move(job));
  if (displaced) {
    this->runs.Refuse(*displaced,
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
    this->runs.EndIdleTransaction();
    this->Dispatch(now);
  }
}

void MemberExecutor::AskStatus(steady_clock::time_point now) {
  this->runs.AskStatus();
  this->Dispatch(now);
}

void MemberExecutor::Dispatch(steady_clock::time_point now) {
  this->runs.Pool().OpenMissing(now);
  if (now >= this->term_entry_at && !this->TermEntryDue(now)) {
    this->term_entry_at = now + kTermEntryPause;
  }
  for (auto idle = this->runs.Pool().FindIdle(); idle;
       idle = this->runs.Pool().FindIdle()) {
    if (!this->DispatchTo(now, *idle)) break;
  }
  this->runs.PollIfDue(now);
}

bool MemberExecutor::DispatchTo(steady_clock::time_point now, ConnectionId id) {
  if (auto call = this->control_calls.Pop()) {
    this->runs.StartControl(now, id, std::move(*call));
  } else if (this->TermEntryDue(now)) {
    this->term_entry_at = now + kTermEntryPause;
    this->runs.StartRun(now, id,
                        MakeTermEntry(this->role.info.database, this->role.term,
                                      now + kTermEntryLimit));
  } else if (this->runs.PollOverdue(now)) {
    this->runs.StartPoll(now, id);
  } else if (auto job = this->NextJob(now)) {
    this->runs.StartRun(now, id, std::move(*job));
  } else {
    return false;
  }
  return true;
}

bool MemberExecutor::TermEntryDue(steady_clock::time_point now) const {
  return this->role.primary && !this->runs.TermBegun() &&
         now >= this->term_entry_at && this->may_answer(now, this->role.term);
}

std::optional<Job> MemberExecutor::NextJob(steady_clock::time_point now) {
  for (auto job = this->queue.Pop(); job; job = this->queue.Pop()) {
    auto refusal = CheckRole(this->Admission(now), *job);
    if (!refusal) {
      refusal = CheckTimeLeft(now, *job, this->runs.Load());
      if (refusal) this->runs.Load().Decay();
    }
    if (!refusal) {
      const LoadEstimate& load = this->runs.Load();
      const auto drain = load.TimeToAnswer(this->queue.Size(),
                                           this->runs.Pool().Size(), false);
      this->queue_bound.OnDequeued(now, drain, load.Hold());
      return job;
    }
    this->runs.Refuse(*job, *refusal);
  }
  return std::nullopt;
}

void MemberExecutor::OnTick(steady_clock::time_point now) {
  this->control_calls.Expire(now);
  for (const Job& job : this->queue.TakeExpired(now)) {
    this->runs.Refuse(job,
                      NotRun{RefusalCode::kDeadline,
                             "no connection was free within the time limit"});
  }
  this->runs.OnTick(now);
  this->RefuseIfUnserving(now);
  this->Dispatch(now);
}

std::optional<steady_clock::time_point> MemberExecutor::NextWakeup() const {
  std::optional<steady_clock::time_point> next = this->queue.NextDeadline();
  const auto consider = [&next](std::optional<steady_clock::time_point> time) {
    if (time && (!next || *time < *next)) next = time;
  };
  consider(this->control_calls.NextDeadline());
  consider(this->runs.NextWakeup());
  const bool entry_missing = this->role.primary && !this->runs.TermBegun();
  if (entry_missing && this->runs.Pool().FindIdle()) {
    consider(this->term_entry_at);
  }
  return next;
}

std::size_t MemberExecutor::Unfinished() const {
  return this->queue.Size() + this->runs.Unfinished();
}

}  // namespace lacewingferry
