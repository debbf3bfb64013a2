#include "lacewingferry/decisions/execution/member_runs.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

}  // namespace

MemberRuns::MemberRuns(ExecutorHooks run_hooks, ExecutorSettings run_settings)
    : hooks(std::move(run_hooks)),
      settings(std::move(run_settings)),
      pool(PoolHooks{this->hooks.port, this->hooks.next_connection,
                     this->hooks.observe},
           this->settings.seed),
      pending(this->hooks.may_answer,
              [this](std::chrono::nanoseconds waited) {
                this->load.AddConfirmation(waited);
              }),
      transactions(this->settings.transactions) {}

void MemberRuns::Configure(const ExecutorRole& new_role) {
  const bool new_term = new_role.term != this->role.term;
  this->role = new_role;
  this->confirmer.SetMembers(new_role.group_size, new_role.counted_members);
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
  }
}

void MemberRuns::OnGateChanged(steady_clock::time_point now,
                               std::uint64_t released) {
  this->released_term = std::max(this->released_term, released);
  this->pending.EndTerms(this->released_term);
  this->AbortTransactions(
      this->transactions.OfTermsBefore(this->released_term + 1));
  this->pending.Release(now, this->confirmer);
}

void MemberRuns::OnOpened(steady_clock::time_point now, ConnectionId id) {
  this->hooks.events.record(Event{EventCode::kConnectionOpened,
                                  EventLevel::kDebug,
                                  {{"member", this->role.info.id.Value()}}});
  this->pool.OnOpened(now, id);
}

void MemberRuns::OnLost(steady_clock::time_point now, ConnectionId id,
                        ConnectionFailure failure) {
  if (!this->pool.Owns(id)) return;
  this->hooks.events.record(Event{EventCode::kConnectionLost,
                                  EventLevel::kDebug,
                                  {{"member", this->role.info.id.Value()}}});
  this->pool.OnLost(now, id, failure);
  this->FailActive(id);
}

void MemberRuns::SubmitInTransaction(steady_clock::time_point now, Job job) {
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

void MemberRuns::StartRun(steady_clock::time_point now, ConnectionId id,
                          Job job) {
  RunContext context;
  context.member = this->role.info.id;
  context.primary = this->role.primary;
  context.term = this->role.term;
  context.group_size = this->role.group_size;
  const auto& counted = this->role.counted_members;
  context.counted = std::find(counted.begin(), counted.end(),
                              this->role.info.id) != counted.end();
  context.next_transaction = this->hooks.next_transaction;
  context.age_of = this->hooks.age_of;
  Active& running = this->active[id];
  running = Active{};
  running.since = now;
  running.measured = job.request.transaction.Empty();
  running.run.emplace(std::move(job), std::move(context), &this->settings.run);
  this->pool.Send(now, id, running.run->Start());
}

void MemberRuns::StartControl(steady_clock::time_point now, ConnectionId id,
                              ControlCall call) {
  Active& running = this->active[id];
  running = Active{};
  running.since = now;
  const MemberBatch batch{{call.statement}};
  running.control = std::move(call);
  this->pool.Send(now, id, batch);
}

void MemberRuns::StartPoll(steady_clock::time_point now, ConnectionId id) {
  this->active[id] = Active{};
  this->active[id].since = now;
  this->status_wanted = false;
  this->polls.OnSent(now);
  this->pool.Send(now, id,
                  MemberBatch{{MemberStatement{MemberStatementKind::kState}}});
}

void MemberRuns::OnCompleted(steady_clock::time_point now, ConnectionId id,
                             const MemberBatchResult& result) {
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
}

void MemberRuns::OnRunResult(steady_clock::time_point now, ConnectionId id,
                             const MemberBatchResult& result) {
  const auto asked_at = this->active.at(id).since;
  JobRun& running = *this->active.at(id).run;
  RunStep step = running.OnResult(result);
  // A run that has ended leaves the table before its outcome is told.
  const JobRun run = step.fate ? std::move(running) : running;
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

void MemberRuns::NoteTransaction(steady_clock::time_point now, ConnectionId id,
                                 const JobRun& run, const RunStep& step) {
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

void MemberRuns::EndActive(steady_clock::time_point now, ConnectionId id,
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

void MemberRuns::Tell(const JobRun& run, const Outcome& outcome) {
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    this->Refuse(run.TheJob(), *refusal);
  } else {
    run.TheJob().reply(outcome);
  }
}

void MemberRuns::Refuse(const Job& job, const NotRun& refusal) {
  this->hooks.events.record(Event{EventCode::kRequestRefused,
                                  EventLevel::kDebug,
                                  {{"member", this->role.info.id.Value()},
                                   {"code", RefusalName(refusal.code)}}});
  job.reply(refusal);
}

void MemberRuns::HoldAnswer(steady_clock::time_point now, const JobRun& run,
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

void MemberRuns::OnControlResult(steady_clock::time_point now, ConnectionId id,
                                 const MemberBatchResult& result) {
  const ControlCall call = *this->active.at(id).control;
  this->EndActive(now, id, ConnectionFate::kReusable);
  call.reply(result.results.empty() ? std::nullopt
                                    : std::optional(result.results.front()));
}

void MemberRuns::OnPollResult(steady_clock::time_point now, ConnectionId id,
                              const MemberBatchResult& result) {
  this->polls.OnEnded();
  const auto asked_at = this->active.at(id).since;
  std::optional<Job> next = std::move(this->active.at(id).next);
  const bool in_transaction = !this->transactions.IdOn(id).Empty();
  this->EndActive(
      now, id,
      in_transaction ? ConnectionFate::kPinned : ConnectionFate::kReusable);
  if (next) this->StartRun(now, id, std::move(*next));
  if (!result.results.empty()) {
    this->TakeStatus(now, asked_at, result.results.front().state);
  }
}

void MemberRuns::TakeStatus(steady_clock::time_point now,
                            steady_clock::time_point asked_at,
                            const std::vector<GroupMemberState>& rows) {
  if (this->hooks.on_status) {
    this->hooks.on_status(asked_at, SelfState(rows));
  }
  if (!this->role.primary) return;
  this->confirmer.OnStatus(rows);
  this->polls.OnStatus(now);
  this->pending.Release(now, this->confirmer);
}

void MemberRuns::CloseInDoubt(ConnectionId id) {
  if (!this->pool.Owns(id)) return;
  this->pool.Close(id);
  this->FailActive(id);
}

void MemberRuns::EndTransaction(const TransactionId& id, const Active& by) {
  const bool commit_sent = by.run && by.run->CommitSent();
  commit_sent ? this->transactions.Remove(id) : this->transactions.Abort(id);
}

void MemberRuns::FailActive(ConnectionId id) {
  const TransactionId transaction = this->transactions.IdOn(id);
  const auto node = this->active.extract(id);
  if (node.empty()) {
    this->transactions.Abort(transaction);
    return;
  }
  const Active& failed = node.mapped();
  this->EndTransaction(transaction, failed);
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

void MemberRuns::AbortTransactions(const std::vector<TransactionId>& ids) {
  for (const TransactionId& id : ids) {
    const OpenTransaction* transaction = this->transactions.Find(id);
    if (transaction != nullptr) this->CloseInDoubt(transaction->connection);
  }
}

}  // namespace lacewingferry
