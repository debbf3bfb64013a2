#include "lacewingferry/decisions/traffic/member_executor.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/traffic/statement_check.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The pause before the first entry of a term is tried again. */
constexpr milliseconds kTermEntryPause{50};
/** How long the first entry of a term may take. */
constexpr milliseconds kTermEntryLimit{1000};
/** A connection that is silent for this long after its batch was of use is
 * closed. */
constexpr milliseconds kHungLimit{5000};

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

MemberExecutor::MemberExecutor(ExecutorHooks executor_hooks,
                               ExecutorSettings executor_settings)
    : hooks(std::move(executor_hooks)),
      settings(std::move(executor_settings)),
      pool(PoolHooks{this->hooks.port, this->hooks.next_connection,
                     this->hooks.observe},
           this->settings.seed),
      pending(this->hooks.may_answer,
              [this](std::chrono::nanoseconds waited) {
                this->load.AddConfirmation(waited);
              }),
      transactions(this->settings.transactions) {}

void MemberExecutor::Configure(steady_clock::time_point now,
                               const ExecutorRole& new_role) {
  const bool new_term = new_role.term != this->role.term;
  this->role = new_role;
  this->confirmer.SetGroupSize(new_role.group_size);
  this->confirmer.SetTerm(new_role.term);
  for (const ConnectionId id :
       this->pool.Configure(new_role.info, new_role.share)) {
    this->FailActive(id);
  }
  if (new_term || !new_role.primary) {
    const std::uint64_t first_valid =
        new_role.primary ? new_role.term : new_role.term + 1;
    this->pending.EndTerms(first_valid - 1);
    this->AbortTransactions(this->transactions.OfTermsBefore(first_valid));
    this->term_entry_at = now;
  }
  this->Dispatch(now);
}

void MemberExecutor::Withdraw(steady_clock::time_point now) {
  ExecutorRole none = this->role;
  none.share = 0;
  none.primary = false;
  this->Configure(now, none);
  for (const Job& job : this->queue.TakeAll()) {
    this->Refuse(job,
                 NotRun{RefusalCode::kMemberUnreachable, "the member is gone"});
  }
  this->control_calls.FailAll();
}

void MemberExecutor::Refuse(const Job& job, const NotRun& refusal) {
  this->hooks.events.record(Event{EventCode::kRequestRefused,
                                  EventLevel::kDebug,
                                  {{"member", this->role.info.id.Value()},
                                   {"code", RefusalName(refusal.code)}}});
  job.reply(refusal);
}

void MemberExecutor::OnGateChanged(steady_clock::time_point now,
                                   std::uint64_t released) {
  this->released_term = std::max(this->released_term, released);
  this->pending.EndTerms(this->released_term);
  this->AbortTransactions(
      this->transactions.OfTermsBefore(this->released_term + 1));
  this->pending.Release(now, this->confirmer);
  this->Dispatch(now);
}

void MemberExecutor::OnOpened(steady_clock::time_point now, ConnectionId id) {
  this->hooks.events.record(Event{EventCode::kConnectionOpened,
                                  EventLevel::kDebug,
                                  {{"member", this->role.info.id.Value()}}});
  this->pool.OnOpened(now, id);
  this->Dispatch(now);
}

void MemberExecutor::OnLost(steady_clock::time_point now, ConnectionId id,
                            ConnectionFailure failure) {
  if (!this->pool.Owns(id)) return;
  this->hooks.events.record(Event{EventCode::kConnectionLost,
                                  EventLevel::kDebug,
                                  {{"member", this->role.info.id.Value()}}});
  this->pool.OnLost(now, id, failure);
  this->FailActive(id);
  this->Dispatch(now);
}

AdmissionState MemberExecutor::Admission(steady_clock::time_point now) const {
  return AdmissionState{this->role.share, this->role.primary, this->role.term,
                        this->hooks.may_answer(now, this->role.term)};
}

void MemberExecutor::Submit(steady_clock::time_point now, Job job) {
  if (!job.request.transaction.Empty()) {
    this->SubmitInTransaction(now, std::move(job));
    return;
  }
  auto refusal = CheckRole(this->Admission(now), job);
  if (!refusal) {
    refusal = CheckExpectedWait(now, job, this->queue.CountAhead(job),
                                this->pool.Size(), this->load);
  }
  if (refusal) {
    this->Refuse(job, *refusal);
    return;
  }
  const auto displaced = this->queue.Push(std::move(job));
  if (displaced) {
    this->Refuse(*displaced,
                 NotRun{RefusalCode::kOverloaded, "the queue is full"});
  }
  this->Dispatch(now);
}

void MemberExecutor::SubmitInTransaction(steady_clock::time_point now,
                                         Job job) {
  OpenTransaction* transaction =
      this->transactions.Find(job.request.transaction);
  if (transaction == nullptr) {
    job.reply(this->transactions.OutcomeOfClosed(job.request));
    return;
  }
  if (const auto refusal = CheckInTransaction(*transaction, job)) {
    this->Refuse(job, *refusal);
    return;
  }
  const ConnectionId id = transaction->connection;
  // The begin has recorded the same identifier already.
  job.request.request_id =
      transaction->request_id.Empty() ? job.request.request_id : RequestId();
  if (this->pool.IsPinned(id)) {
    this->StartRun(now, id, std::move(job));
    return;
  }
  Active& running = this->active.at(id);
  if (!running.run && !running.next) {
    running.next = std::move(job);
    return;
  }
  this->Refuse(job, NotRun{RefusalCode::kInvalidRequest,
                           "the transaction still runs an earlier statement"});
}

void MemberExecutor::RunControlStatement(steady_clock::time_point now,
                                         ControlCall call) {
  if (this->role.share == 0) {
    call.reply(std::nullopt);
    return;
  }
  const bool changes_role = call.statement.sql != this->settings.run.sql.status;
  this->control_calls.Push(std::move(call));
  this->Dispatch(now);
  const auto held = this->pool.FindPinned();
  if (changes_role && held && !this->control_calls.Empty()) {
    this->AbortTransactions({this->transactions.IdOn(*held)});
    this->Dispatch(now);
  }
}

void MemberExecutor::AskStatus(steady_clock::time_point now) {
  this->status_wanted = true;
  this->Dispatch(now);
}

void MemberExecutor::Dispatch(steady_clock::time_point now) {
  this->pool.OpenMissing(now);
  if (now >= this->term_entry_at && !this->TermEntryDue(now)) {
    this->term_entry_at = now + kTermEntryPause;
  }
  for (auto idle = this->pool.FindIdle(); idle; idle = this->pool.FindIdle()) {
    if (!this->DispatchTo(now, *idle)) break;
  }
  this->PollIfDue(now);
}

bool MemberExecutor::DispatchTo(steady_clock::time_point now, ConnectionId id) {
  if (auto call = this->control_calls.Pop()) {
    this->StartControl(now, id, std::move(*call));
  } else if (this->TermEntryDue(now)) {
    this->term_entry_at = now + kTermEntryPause;
    this->StartRun(now, id,
                   MakeTermEntry(this->role.info.database, this->role.term,
                                 now + kTermEntryLimit));
  } else if (this->status_wanted || this->PollOverdue(now)) {
    this->StartPoll(now, id);
  } else if (auto job = this->NextJob(now)) {
    this->StartRun(now, id, std::move(*job));
  } else {
    return false;
  }
  return true;
}

bool MemberExecutor::TermEntryDue(steady_clock::time_point now) const {
  return this->role.primary && !this->confirmer.TermBegun() &&
         now >= this->term_entry_at &&
         this->hooks.may_answer(now, this->role.term);
}

bool MemberExecutor::PollOverdue(steady_clock::time_point now) const {
  const auto oldest = this->pending.OldestSince();
  if (!oldest) return false;
  const auto overdue = this->polls.Overdue(*oldest, this->load.Confirmation());
  return overdue && *overdue <= now;
}

void MemberExecutor::PollIfDue(steady_clock::time_point now) {
  const auto oldest = this->pending.OldestSince();
  if (!oldest) return;
  const auto due = this->polls.Due(*oldest, this->load.Confirmation());
  if (!due || *due > now) return;
  auto id = this->pool.FindIdle();
  if (!id) id = this->pool.FindPinned();
  if (id) this->StartPoll(now, *id);
}

std::optional<Job> MemberExecutor::NextJob(steady_clock::time_point now) {
  for (auto job = this->queue.Pop(); job; job = this->queue.Pop()) {
    auto refusal = CheckRole(this->Admission(now), *job);
    if (!refusal) {
      refusal = CheckTimeLeft(now, *job, this->load);
      if (refusal) this->load.Relax();
    }
    if (!refusal) return job;
    this->Refuse(*job, *refusal);
  }
  return std::nullopt;
}

void MemberExecutor::StartRun(steady_clock::time_point now, ConnectionId id,
                              Job job) {
  RunContext context;
  context.member = this->role.info.id;
  context.primary = this->role.primary;
  context.term = this->role.term;
  context.group_size = this->role.group_size;
  context.next_transaction = this->hooks.next_transaction;
  context.age_of = this->hooks.age_of;
  Active& running = this->active[id];
  running = Active{};
  running.since = now;
  running.run.emplace(std::move(job), std::move(context), &this->settings.run);
  this->pool.Send(now, id, running.run->Start());
}

void MemberExecutor::StartControl(steady_clock::time_point now, ConnectionId id,
                                  ControlCall call) {
  Active& running = this->active[id];
  running = Active{};
  running.since = now;
  const SqlBatch batch{{call.statement}};
  running.control = std::move(call);
  this->pool.Send(now, id, batch);
}

void MemberExecutor::StartPoll(steady_clock::time_point now, ConnectionId id) {
  this->active[id] = Active{};
  this->active[id].since = now;
  this->status_wanted = false;
  this->polls.OnSent(now);
  this->pool.Send(now, id, SqlBatch{{{this->settings.run.sql.status, {}}}});
}

void MemberExecutor::OnCompleted(steady_clock::time_point now, ConnectionId id,
                                 const BatchResult& result) {
  const auto found = this->active.find(id);
  if (found == this->active.end()) return;
  this->pool.OnCompleted(now, id);
  try {
    if (found->second.run) {
      this->OnRunResult(now, id, result);
    } else if (found->second.control) {
      this->OnControlResult(now, id, result);
    } else {
      this->OnPollResult(now, id, result);
    }
  } catch (const DecodeError&) {
    this->CloseInDoubt(id);
  }
  this->Dispatch(now);
}

void MemberExecutor::OnRunResult(steady_clock::time_point now, ConnectionId id,
                                 const BatchResult& result) {
  const auto asked_at = this->active.at(id).since;
  RunStep step = this->active.at(id).run->OnResult(result);
  const JobRun run = *this->active.at(id).run;
  const auto* answer =
      step.outcome ? std::get_if<Answered>(&*step.outcome) : nullptr;
  const bool silenced = answer != nullptr &&
                        step.fate == ConnectionFate::kPinned &&
                        !this->hooks.may_answer(now, run.Term());
  if (silenced) {
    this->transactions.Abort(run.TheJob().request.transaction);
    this->EndActive(now, id, ConnectionFate::kClose);
    this->Tell(run, NotRun{RefusalCode::kTransactionAborted,
                           "this proxy may not answer for the primary now"});
    return;
  }
  this->NoteTransaction(now, id, run, step);
  if (step.next) this->pool.Send(now, id, *step.next);
  if (step.fate) this->EndActive(now, id, *step.fate);
  if (!step.status.empty()) this->TakeStatus(now, asked_at, step.status);
  if (step.held) this->HoldAnswer(now, run, std::move(*step.held));
  if (step.outcome) this->Tell(run, *step.outcome);
}

void MemberExecutor::NoteTransaction(steady_clock::time_point now,
                                     ConnectionId id, const JobRun& run,
                                     const RunStep& step) {
  const StatementRequest& request = run.TheJob().request;
  if (step.fate == ConnectionFate::kPinned) {
    const auto& answer = std::get<Answered>(*step.outcome);
    OpenTransaction* open = this->transactions.Find(answer.transaction);
    if (open == nullptr) {
      this->transactions.Add(
          answer.transaction,
          OpenTransaction{id, run.Term(), request.request_id, now, now});
    } else {
      open->last_used = now;
    }
  } else if (step.outcome && std::holds_alternative<NotRun>(*step.outcome)) {
    this->transactions.Abort(request.transaction);
  } else if (step.outcome || step.held) {
    this->transactions.Remove(request.transaction);
  }
}

void MemberExecutor::EndActive(steady_clock::time_point now, ConnectionId id,
                               ConnectionFate fate) {
  const Active ended = std::move(this->active.extract(id).mapped());
  const bool whole_request = ended.run &&
                             ended.run->TheJob().request.transaction.Empty() &&
                             fate == ConnectionFate::kReusable;
  if (whole_request) this->load.AddHold(now - ended.since);
  if (fate == ConnectionFate::kPinned) {
    this->pool.Pin(id);
  } else if (fate == ConnectionFate::kReusable) {
    this->pool.GiveBack(id);
  } else {
    this->pool.Close(id);
  }
}

void MemberExecutor::Tell(const JobRun& run, const Outcome& outcome) {
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    this->Refuse(run.TheJob(), *refusal);
  } else {
    run.TheJob().reply(outcome);
  }
}

void MemberExecutor::HoldAnswer(steady_clock::time_point now, const JobRun& run,
                                HeldAnswer held) {
  const bool stands = this->role.primary && run.Term() == this->role.term &&
                      run.Term() > this->released_term;
  if (!stands) {
    this->Tell(run, held.otherwise);
    return;
  }
  this->pending.Add(PendingAnswer{run.TheJob(), std::move(held.answer),
                                  held.position, run.Term(),
                                  std::move(held.otherwise), now});
  this->pending.Release(now, this->confirmer);
}

void MemberExecutor::OnControlResult(steady_clock::time_point now,
                                     ConnectionId id,
                                     const BatchResult& result) {
  const ControlCall call = *this->active.at(id).control;
  this->EndActive(now, id, ConnectionFate::kReusable);
  call.reply(result.results.empty() ? std::nullopt
                                    : std::optional(result.results.front()));
}

void MemberExecutor::OnPollResult(steady_clock::time_point now, ConnectionId id,
                                  const BatchResult& result) {
  this->polls.OnEnded();
  const auto asked_at = this->active.at(id).since;
  std::optional<Job> next = std::move(this->active.at(id).next);
  const bool in_transaction = !this->transactions.IdOn(id).Empty();
  this->EndActive(
      now, id,
      in_transaction ? ConnectionFate::kPinned : ConnectionFate::kReusable);
  if (next) this->StartRun(now, id, std::move(*next));
  if (!result.results.empty()) {
    this->TakeStatus(now, asked_at, ParseMemberStatus(result.results.front()));
  }
}

void MemberExecutor::TakeStatus(steady_clock::time_point now,
                                steady_clock::time_point asked_at,
                                const std::vector<MemberStatus>& rows) {
  this->hooks.on_status(asked_at, SelfStatus(rows));
  if (!this->role.primary) return;
  this->confirmer.OnStatus(rows);
  this->polls.OnStatus(now);
  this->pending.Release(now, this->confirmer);
}

void MemberExecutor::CloseInDoubt(ConnectionId id) {
  if (!this->pool.Owns(id)) return;
  this->pool.Close(id);
  this->FailActive(id);
}

void MemberExecutor::FailActive(ConnectionId id) {
  const TransactionId transaction = this->transactions.IdOn(id);
  const auto node = this->active.extract(id);
  if (node.empty()) {
    this->transactions.Abort(transaction);
    return;
  }
  const Active& failed = node.mapped();
  if (failed.run && failed.run->CommitSent()) {
    this->transactions.Remove(transaction);
  } else {
    this->transactions.Abort(transaction);
  }
  if (!failed.run && !failed.control) this->polls.OnEnded();
  if (failed.run) {
    const auto outcome = failed.run->OnLost();
    if (outcome) this->Tell(*failed.run, *outcome);
  }
  if (failed.control) failed.control->reply(std::nullopt);
  if (failed.next) {
    this->Refuse(*failed.next, NotRun{RefusalCode::kTransactionAborted,
                                      "the connection was lost"});
  }
}

void MemberExecutor::AbortTransactions(const std::vector<TransactionId>& ids) {
  for (const TransactionId& id : ids) {
    const OpenTransaction* transaction = this->transactions.Find(id);
    if (transaction != nullptr) this->CloseInDoubt(transaction->connection);
  }
}

void MemberExecutor::AbandonOverdue(steady_clock::time_point now) {
  std::vector<ConnectionId> hung;
  for (auto& [id, running] : this->active) {
    auto useful_until = running.since;
    if (running.run) {
      useful_until = std::max(useful_until, running.run->TheJob().deadline);
    }
    if (useful_until + kHungLimit <= now) hung.push_back(id);
    const bool overdue = running.run && running.run->Undecided() &&
                         running.run->TheJob().deadline <= now;
    if (!overdue) continue;
    const TransactionId& transaction =
        running.run->TheJob().request.transaction;
    if (running.run->CommitSent()) {
      this->transactions.Remove(transaction);
    } else {
      this->transactions.Abort(transaction);
    }
    this->Tell(*running.run, running.run->Abandon());
  }
  for (const ConnectionId id : hung) this->CloseInDoubt(id);
}

void MemberExecutor::OnTick(steady_clock::time_point now) {
  this->control_calls.Expire(now);
  this->pool.ObserveSilence(now);
  for (const Job& job : this->queue.TakeExpired(now)) {
    this->Refuse(job, NotRun{RefusalCode::kDeadline,
                             "no connection was free within the time limit"});
  }
  this->pending.Expire(now);
  this->AbandonOverdue(now);
  this->AbortTransactions(this->transactions.Overdue(now));
  this->pending.Release(now, this->confirmer);
  this->Dispatch(now);
}

std::optional<steady_clock::time_point> MemberExecutor::NextWakeup() const {
  std::optional<steady_clock::time_point> next = this->queue.NextDeadline();
  const auto consider = [&next](std::optional<steady_clock::time_point> time) {
    if (time && (!next || *time < *next)) next = time;
  };
  consider(this->control_calls.NextDeadline());
  consider(this->pending.NextDeadline());
  consider(this->transactions.NextDeadline());
  consider(this->pool.NextWakeup());
  for (const auto& [id, running] : this->active) {
    auto useful_until = running.since;
    if (running.run) {
      const auto deadline = running.run->TheJob().deadline;
      useful_until = std::max(useful_until, deadline);
      if (running.run->Undecided()) consider(deadline);
    }
    consider(useful_until + kHungLimit);
  }
  const bool may_send = this->pool.FindIdle() || this->pool.FindPinned();
  if (const auto oldest = this->pending.OldestSince(); oldest && may_send) {
    consider(this->polls.Due(*oldest, this->load.Confirmation()));
  }
  if (this->role.primary && !this->confirmer.TermBegun() &&
      this->pool.FindIdle()) {
    consider(this->term_entry_at);
  }
  return next;
}

std::size_t MemberExecutor::Unfinished() const {
  std::size_t running = 0;
  for (const auto& [id, entry] : this->active) {
    if (entry.run && entry.run->Undecided()) ++running;
  }
  return this->queue.Size() + this->pending.Size() + running;
}

}  // namespace lacewingferry
