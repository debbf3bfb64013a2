#include "lacewingferry/decisions/execution/batch_runner.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

}  // namespace

BatchRunner::BatchRunner(ExecutorHooks run_hooks, ExecutorSettings run_settings)
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

void BatchRunner::Configure(const ExecutorRole& new_role) {
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

void BatchRunner::OnGateChanged(steady_clock::time_point now,
                                std::uint64_t released) {
  this->released_term = std::max(this->released_term, released);
  this->pending.EndTerms(this->released_term);
  this->AbortTransactions(
      this->transactions.OfTermsBefore(this->released_term + 1));
  this->pending.Release(now, this->confirmer);
}

void BatchRunner::OnOpened(steady_clock::time_point now, ConnectionId id) {
  this->hooks.events.record(Event{EventCode::kConnectionOpened,
                                  EventLevel::kDebug,
                                  {{"member", this->role.info.id.Value()}}});
  this->pool.OnOpened(now, id);
}

void BatchRunner::OnLost(steady_clock::time_point now, ConnectionId id,
                         ConnectionFailure failure) {
  if (!this->pool.Owns(id)) return;
  this->hooks.events.record(Event{EventCode::kConnectionLost,
                                  EventLevel::kDebug,
                                  {{"member", this->role.info.id.Value()}}});
  this->pool.OnLost(now, id, failure);
  this->FailActive(id);
}

void BatchRunner::SubmitInTransaction(steady_clock::time_point now, Job job) {
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
  // BEGIN has already recorded the same identifier.
  job.request.request_id =
      transaction->request_id.Empty() ? job.request.request_id : RequestId();
  if (this->pool.IsPinned(id)) {
    this->StartRun(now, id, std::move(job));
    return;
  }
  ActiveBatch& running = this->active.at(id);
  if (!running.run && !running.next) {
    running.next = std::move(job);
    return;
  }
  this->Refuse(job, NotRun{RefusalCode::kInvalidRequest,
                           "the transaction still runs an earlier statement"});
}

void BatchRunner::StartRun(steady_clock::time_point now, ConnectionId id,
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
  ActiveBatch& running = this->active[id];
  running = ActiveBatch{};
  running.since = now;
  running.measured = job.request.transaction.Empty();
  running.run.emplace(std::move(job), std::move(context), &this->settings.run);
  this->pool.Send(now, id, running.run->Start());
}

void BatchRunner::StartControl(steady_clock::time_point now, ConnectionId id,
                               ControlCall call) {
  ActiveBatch& running = this->active[id];
  running = ActiveBatch{};
  running.since = now;
  const MemberBatch batch{{call.statement}};
  running.control = std::move(call);
  this->pool.Send(now, id, batch);
}

void BatchRunner::StartPoll(steady_clock::time_point now, ConnectionId id) {
  this->active[id] = ActiveBatch{};
  this->active[id].since = now;
  this->status_requested = false;
  this->polls.OnSent(now);
  this->pool.Send(now, id,
                  MemberBatch{{MemberStatement{MemberStatementKind::kState}}});
}

void BatchRunner::OnCompleted(steady_clock::time_point now, ConnectionId id,
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
    this->CloseAndFail(id);
  }
}

void BatchRunner::OnRunResult(steady_clock::time_point now, ConnectionId id,
                              const MemberBatchResult& result) {
  const auto asked_at = this->active.at(id).since;
  JobRun& running = *this->active.at(id).run;
  RunStep step = running.OnResult(result);
  // A finished run is moved out first: EndActive removes its entry from active
  // before the outcome is sent.
  const JobRun run = step.disposition ? std::move(running) : running;
  const auto* answer =
      step.outcome ? std::get_if<Answered>(&*step.outcome) : nullptr;
  const bool may_not_answer =
      answer != nullptr && step.disposition == ConnectionDisposition::kPinned &&
      !this->hooks.may_answer(now, run.Term());
  if (may_not_answer) {
    this->transactions.Abort(run.GetJob().request.transaction);
    this->EndActive(now, id, ConnectionDisposition::kClose);
    this->SendOutcome(run,
                      NotRun{RefusalCode::kTransactionAborted,
                             "this proxy may not answer for the primary now"});
    return;
  }
  this->UpdateTransaction(now, id, run, step);
  if (step.next) this->pool.Send(now, id, *step.next);
  if (step.disposition) this->EndActive(now, id, *step.disposition);
  if (!step.status.empty()) this->ProcessStatus(now, asked_at, step.status);
  if (step.held) this->HoldAnswer(now, run, std::move(*step.held));
  if (step.outcome) this->SendOutcome(run, *step.outcome);
}

void BatchRunner::UpdateTransaction(steady_clock::time_point now,
                                    ConnectionId id, const JobRun& run,
                                    const RunStep& step) {
  const StatementRequest& request = run.GetJob().request;
  if (step.disposition == ConnectionDisposition::kPinned) {
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

void BatchRunner::EndActive(steady_clock::time_point now, ConnectionId id,
                            ConnectionDisposition disposition) {
  const ActiveBatch ended = std::move(this->active.extract(id).mapped());
  const bool measure_hold = ended.run &&
                            ended.run->GetJob().request.transaction.Empty() &&
                            disposition == ConnectionDisposition::kReusable;
  if (measure_hold) this->load.AddHold(now - ended.since);
  if (disposition == ConnectionDisposition::kPinned) {
    this->pool.Pin(id);
  } else if (disposition == ConnectionDisposition::kReusable) {
    this->pool.Return(id);
  } else {
    this->pool.Close(id);
  }
}

void BatchRunner::SendOutcome(const JobRun& run, const Outcome& outcome) {
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    this->Refuse(run.GetJob(), *refusal);
  } else {
    run.GetJob().reply(outcome);
  }
}

void BatchRunner::Refuse(const Job& job, const NotRun& refusal) {
  this->hooks.events.record(Event{EventCode::kRequestRefused,
                                  EventLevel::kDebug,
                                  {{"member", this->role.info.id.Value()},
                                   {"code", RefusalName(refusal.code)}}});
  job.reply(refusal);
}

void BatchRunner::HoldAnswer(steady_clock::time_point now, const JobRun& run,
                             HeldAnswer held) {
  const bool still_valid = this->role.primary &&
                           run.Term() == this->role.term &&
                           run.Term() > this->released_term;
  if (!still_valid) {
    this->SendOutcome(run, held.fallback);
    return;
  }
  this->pending.Add(PendingAnswer{run.GetJob(), std::move(held.answer),
                                  held.position, run.Term(),
                                  std::move(held.fallback), now});
  this->pending.Release(now, this->confirmer);
}

void BatchRunner::OnControlResult(steady_clock::time_point now, ConnectionId id,
                                  const MemberBatchResult& result) {
  const ControlCall call = *this->active.at(id).control;
  this->EndActive(now, id, ConnectionDisposition::kReusable);
  call.reply(result.results.empty() ? std::nullopt
                                    : std::optional(result.results.front()));
}

void BatchRunner::OnPollResult(steady_clock::time_point now, ConnectionId id,
                               const MemberBatchResult& result) {
  this->polls.OnEnded();
  const auto asked_at = this->active.at(id).since;
  std::optional<Job> next = std::move(this->active.at(id).next);
  const bool in_transaction = !this->transactions.FindOnConnection(id).Empty();
  this->EndActive(now, id,
                  in_transaction ? ConnectionDisposition::kPinned
                                 : ConnectionDisposition::kReusable);
  if (next) this->StartRun(now, id, std::move(*next));
  if (!result.results.empty()) {
    this->ProcessStatus(now, asked_at, result.results.front().state);
  }
}

void BatchRunner::ProcessStatus(steady_clock::time_point now,
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

void BatchRunner::CloseAndFail(ConnectionId id) {
  if (!this->pool.Owns(id)) return;
  this->pool.Close(id);
  this->FailActive(id);
}

void BatchRunner::EndTransaction(const TransactionId& id,
                                 const ActiveBatch& last_batch) {
  const bool commit_sent = last_batch.run && last_batch.run->CommitSent();
  commit_sent ? this->transactions.Remove(id) : this->transactions.Abort(id);
}

void BatchRunner::FailActive(ConnectionId id) {
  const TransactionId transaction = this->transactions.FindOnConnection(id);
  const auto node = this->active.extract(id);
  if (node.empty()) {
    this->transactions.Abort(transaction);
    return;
  }
  const ActiveBatch& failed = node.mapped();
  this->EndTransaction(transaction, failed);
  if (!failed.run && !failed.control) this->polls.OnEnded();
  if (failed.run) {
    const auto outcome = failed.run->OnLost();
    if (outcome) this->SendOutcome(*failed.run, *outcome);
  }
  if (failed.control) failed.control->reply(std::nullopt);
  if (failed.next) {
    this->Refuse(*failed.next, NotRun{RefusalCode::kTransactionAborted,
                                      "the connection was lost"});
  }
}

void BatchRunner::AbortTransactions(const std::vector<TransactionId>& ids) {
  for (const TransactionId& id : ids) {
    const OpenTransaction* transaction = this->transactions.Find(id);
    if (transaction != nullptr) this->CloseAndFail(transaction->connection);
  }
}

}  // namespace lacewingferry
