#include "lacewingferry/decisions/traffic/member_executor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/session/read_judgement.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The pause between two questions to the primary about its replicas. */
constexpr milliseconds kConfirmPollInterval{2};
/** The pause after a connection could not be opened. */
constexpr milliseconds kReopenPause{100};
/** A batch or an attempt to connect that takes longer is a sign of trouble. */
constexpr milliseconds kSilenceThreshold{250};
/** "unique_violation" in PostgreSQL's list of error codes. */
constexpr char kUniqueViolation[] = "23505";
/** "read_only_sql_transaction": the member is no primary. */
constexpr char kReadOnly[] = "25006";

bool Ran(const BatchResult& result, std::size_t place) {
  return place != StatementBatch::kNoPlace && place < result.results.size();
}

}  // namespace

MemberExecutor::MemberExecutor(ExecutorHooks executor_hooks, std::string status)
    : hooks(std::move(executor_hooks)), status_sql(std::move(status)) {}

void MemberExecutor::Configure(steady_clock::time_point now,
                               const MemberInfo& member, std::uint32_t slots,
                               bool is_primary, std::uint64_t current_term,
                               std::uint32_t group_size) {
  const bool moved = !(this->info.endpoint == member.endpoint);
  this->info = member;
  this->share = slots;
  this->primary = is_primary;
  this->term = current_term;
  this->confirmer.SetGroupSize(group_size);
  this->confirmer.EndTermsBefore(current_term);
  if (moved) {
    std::vector<ConnectionId> all;
    for (const auto& entry : this->connections) all.push_back(entry.first);
    for (const ConnectionId id : all) {
      this->OnLost(now, id, ConnectionFailure::kLost);
      this->hooks.port.close(id);
    }
    this->reopen_at = now;
  }
  for (auto idle = this->FindIdle(); this->connections.size() > this->share &&
                                     idle != this->connections.end();
       idle = this->FindIdle()) {
    this->CloseConnection(idle->first);
  }
  this->OpenMissing(now);
  this->Dispatch(now);
}

void MemberExecutor::Withdraw(steady_clock::time_point now) {
  this->Configure(now, this->info, 0, false, this->term,
                  this->confirmer.GroupSize());
  for (const Job& job : this->queue.TakeAll()) {
    this->ReplyNotRun(job, RefusalCode::kMemberUnreachable,
                      "the member is gone");
  }
}

void MemberExecutor::ReplyNotRun(const Job& job, RefusalCode code,
                                 std::string detail) {
  this->hooks.events.record(
      Event{EventCode::kRequestRefused,
            EventLevel::kDebug,
            {{"member", this->info.id.Value()}, {"code", RefusalName(code)}}});
  job.reply(NotRun{code, std::move(detail)});
}

void MemberExecutor::Submit(steady_clock::time_point now, Job job) {
  if (!job.request.transaction.Empty()) {
    this->SubmitInTransaction(now, std::move(job));
    return;
  }
  if (this->share == 0) {
    this->ReplyNotRun(job, RefusalCode::kNoOwner,
                      "this proxy holds no connection to the member");
    return;
  }
  if (!this->queue.Push(job)) {
    this->ReplyNotRun(job, RefusalCode::kOverloaded, "the queue is full");
    return;
  }
  this->Dispatch(now);
}

void MemberExecutor::SubmitInTransaction(steady_clock::time_point now,
                                         Job job) {
  const auto found = this->transactions.find(job.request.transaction);
  if (found == this->transactions.end()) {
    this->ReplyNotRun(
        job, RefusalCode::kUnknownTransaction,
        "transaction " + job.request.transaction.Value() + " is not open");
    return;
  }
  Connection& connection = this->connections.at(found->second);
  if (connection.state == State::kBusy) {
    this->ReplyNotRun(job, RefusalCode::kInvalidRequest,
                      "the transaction still runs an earlier statement");
    return;
  }
  this->Run(now, found->second, connection, std::move(job));
}

std::map<ConnectionId, MemberExecutor::Connection>::iterator
MemberExecutor::FindIdle() {
  return std::find_if(
      this->connections.begin(), this->connections.end(),
      [](const auto& entry) { return entry.second.state == State::kIdle; });
}

bool MemberExecutor::HasIdle() const {
  return std::any_of(
      this->connections.begin(), this->connections.end(),
      [](const auto& entry) { return entry.second.state == State::kIdle; });
}

void MemberExecutor::OpenMissing(steady_clock::time_point now) {
  if (now < this->reopen_at) return;
  while (this->connections.size() < this->share) {
    const ConnectionId id = this->hooks.next_connection();
    this->connections[id].began = now;
    this->hooks.port.open(id, this->info);
  }
}

void MemberExecutor::Dispatch(steady_clock::time_point now) {
  for (auto idle = this->FindIdle();
       idle != this->connections.end() && !this->control_calls.Empty();
       idle = this->FindIdle()) {
    this->RunControl(now, idle->first, idle->second,
                     *this->control_calls.Pop());
  }
  if (this->WantsStatus()) this->PollPrimary(now);
  for (auto idle = this->FindIdle(); idle != this->connections.end();
       idle = this->FindIdle()) {
    std::optional<Job> job = this->queue.Pop();
    if (!job) return;
    this->Run(now, idle->first, idle->second, std::move(*job));
  }
}

void MemberExecutor::RunControlStatement(steady_clock::time_point now,
                                         ControlCall call) {
  this->control_calls.Push(std::move(call));
  this->Dispatch(now);
}

void MemberExecutor::RunControl(steady_clock::time_point now, ConnectionId id,
                                Connection& connection, ControlCall call) {
  SqlBatch batch{{call.statement}};
  connection.control = std::move(call);
  this->RunInternal(now, id, connection, std::move(batch));
}

void MemberExecutor::AskStatus(steady_clock::time_point now) {
  this->status_wanted = true;
  this->Dispatch(now);
}

void MemberExecutor::OnGateChanged(steady_clock::time_point now) {
  this->Dispatch(now);
}

void MemberExecutor::Observe(steady_clock::time_point now, MemberSign sign) {
  if (this->hooks.observe) this->hooks.observe(this->info.id, sign, now);
}

void MemberExecutor::ObserveSilence(steady_clock::time_point now) {
  for (auto& entry : this->connections) {
    Connection& connection = entry.second;
    const bool waits =
        connection.state == State::kOpening || connection.state == State::kBusy;
    if (!waits || connection.reported_silent ||
        now - connection.began < kSilenceThreshold) {
      continue;
    }
    connection.reported_silent = true;
    this->Observe(now, MemberSign::kSilent);
  }
}

void MemberExecutor::Run(steady_clock::time_point now, ConnectionId id,
                         Connection& connection, Job job) {
  connection.began = now;
  connection.reported_silent = false;
  connection.batch = BuildStatementBatch(job.request, this->status_sql);
  connection.job = std::move(job);
  connection.internal = false;
  connection.state = State::kBusy;
  this->hooks.port.execute(id, connection.batch.batch);
}

void MemberExecutor::RunInternal(steady_clock::time_point now, ConnectionId id,
                                 Connection& connection, SqlBatch batch) {
  connection.began = now;
  connection.reported_silent = false;
  connection.batch = StatementBatch{std::move(batch)};
  connection.job.reset();
  connection.internal = true;
  connection.state = State::kBusy;
  this->hooks.port.execute(id, connection.batch.batch);
}

void MemberExecutor::PollPrimary(steady_clock::time_point now) {
  if (this->polling || now < this->next_poll) return;
  const auto idle = this->FindIdle();
  if (idle == this->connections.end()) return;
  this->polling = true;
  this->status_wanted = false;
  this->next_poll = now + kConfirmPollInterval;
  this->RunInternal(now, idle->first, idle->second,
                    SqlBatch{{SqlStatement{this->status_sql, {}}}});
  idle->second.batch.status_after = 0;
}

void MemberExecutor::OnOpened(steady_clock::time_point now, ConnectionId id) {
  this->connections.at(id).state = State::kIdle;
  this->hooks.events.record(Event{EventCode::kConnectionOpened,
                                  EventLevel::kDebug,
                                  {{"member", this->info.id.Value()}}});
  this->Observe(now, MemberSign::kAnswered);
  this->Release(now, id);
}

void MemberExecutor::CloseConnection(ConnectionId id) {
  this->connections.erase(id);
  this->hooks.port.close(id);
}

void MemberExecutor::Release(steady_clock::time_point now, ConnectionId id) {
  if (this->connections.size() > this->share) {
    this->CloseConnection(id);
  } else {
    this->connections.at(id).state = State::kIdle;
  }
  this->OpenMissing(now);
  this->Dispatch(now);
}

void MemberExecutor::OnLost(steady_clock::time_point now, ConnectionId id,
                            ConnectionFailure failure) {
  auto node = this->connections.extract(id);
  if (node.empty()) return;
  Connection& connection = node.mapped();
  this->hooks.events.record(
      Event{EventCode::kConnectionLost,
            EventLevel::kDebug,
            {{"member", this->info.id.Value()},
             {"opening", connection.state == State::kOpening ? "yes" : "no"}}});
  if (connection.state == State::kOpening ||
      failure == ConnectionFailure::kTooManyConnections) {
    this->reopen_at = now + kReopenPause;
  }
  this->transactions.erase(connection.transaction);
  if (connection.internal && connection.batch.status_after == 0) {
    this->polling = false;
  }
  this->Observe(now, connection.state == State::kOpening ? MemberSign::kRefused
                                                         : MemberSign::kLost);
  if (connection.control) connection.control->reply(std::nullopt);
  if (connection.job) {
    const Job& job = *connection.job;
    const bool harmless = job.request.kind == RequestKind::kRead ||
                          job.request.kind == RequestKind::kBegin ||
                          job.request.kind == RequestKind::kRollback ||
                          (!job.request.transaction.Empty() &&
                           job.request.kind != RequestKind::kCommit);
    if (harmless) {
      this->ReplyNotRun(job,
                        job.request.transaction.Empty()
                            ? RefusalCode::kMemberUnreachable
                            : RefusalCode::kTransactionAborted,
                        "the connection to the member was lost");
    } else {
      job.reply(UnknownOutcome{"the connection was lost during the write"});
    }
  }
  this->OpenMissing(now);
  this->Dispatch(now);
}

void MemberExecutor::OnCompleted(steady_clock::time_point now, ConnectionId id,
                                 const BatchResult& result) {
  this->present = now;
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  Connection& connection = found->second;
  this->Observe(now, MemberSign::kAnswered);
  if (connection.control) {
    const ControlCall call = *std::exchange(connection.control, std::nullopt);
    this->Release(now, id);
    call.reply(result.results.empty() ? std::nullopt
                                      : std::optional(result.results.front()));
    return;
  }
  this->TakeStatus(connection, result);
  if (connection.internal) {
    this->polling = false;
    this->Release(now, id);
    return;
  }
  const Job job = std::move(*connection.job);
  connection.job.reset();
  const bool clean = result.sqlstate.empty();
  if (!clean) {
    this->FinishFailed(connection, job, result);
  } else if (!job.request.transaction.Empty() ||
             job.request.kind == RequestKind::kBegin) {
    this->FinishInTransaction(connection, job, result);
  } else if (job.request.kind == RequestKind::kRead) {
    this->FinishRead(now, connection, job, result);
  } else {
    this->FinishWrite(now, connection, job, result);
  }
  if (connection.state == State::kPinned) return;
  if (!clean) {
    // The failed transaction is still open on the connection.
    this->transactions.erase(connection.transaction);
    this->CloseConnection(id);
    this->OpenMissing(now);
    this->Dispatch(now);
    return;
  }
  this->Release(now, id);
}

void MemberExecutor::TakeStatus(const Connection& connection,
                                const BatchResult& result) {
  const StatementBatch& batch = connection.batch;
  const bool before = Ran(result, batch.status_before);
  const std::size_t place = before ? batch.status_before : batch.status_after;
  if (!Ran(result, place)) return;
  const auto rows = ParseMemberStatus(result.results[place]);
  if (this->primary) this->confirmer.OnStatus(rows);
  this->hooks.on_status(connection.began, SelfStatus(rows));
}

void MemberExecutor::FinishRead(steady_clock::time_point now,
                                const Connection& connection, const Job& job,
                                const BatchResult& result) {
  const auto before =
      ParseMemberStatus(result.results[connection.batch.status_before]);
  const auto after =
      ParseMemberStatus(result.results[connection.batch.status_after]);
  if (this->primary) this->confirmer.OnStatus(after);
  ReadEvidence evidence;
  evidence.before = SelfStatus(before);
  evidence.after = SelfStatus(after);
  evidence.primary = this->primary;
  evidence.view_term = this->term;
  evidence.group_size = this->confirmer.GroupSize();
  evidence.confirmed = this->confirmer.Confirmed();
  evidence.session_position = job.request.session_position;
  evidence.max_age = job.request.max_age;
  const auto complete = this->hooks.complete_until(evidence.before.applied);
  if (complete) evidence.age = now - *complete;
  ReadVerdict verdict = JudgeRead(evidence);
  if (verdict.refusal) {
    this->ReplyNotRun(job, verdict.refusal->code,
                      std::move(verdict.refusal->detail));
    return;
  }
  if (this->primary && !this->hooks.may_answer(now, this->term)) {
    this->ReplyNotRun(job, RefusalCode::kNoPrimary,
                      "this proxy may no longer answer for the primary");
    return;
  }
  Answered answer;
  answer.result = result.results[connection.batch.statement];
  answer.served_by = this->info.id;
  answer.served_by_replica = !this->primary;
  answer.position = verdict.position;
  if (!this->primary && complete) {
    answer.age_bound =
        std::chrono::ceil<milliseconds>(job.received - *complete);
  }
  if (verdict.await_confirmation) {
    this->AwaitConfirmation(job, std::move(answer));
  } else {
    job.reply(answer);
  }
}

void MemberExecutor::FinishWrite(steady_clock::time_point now,
                                 const Connection& connection, const Job& job,
                                 const BatchResult& result) {
  const auto rows =
      ParseMemberStatus(result.results[connection.batch.status_after]);
  Answered answer;
  if (connection.batch.statement != StatementBatch::kNoPlace) {
    answer.result = result.results[connection.batch.statement];
  }
  answer.served_by = this->info.id;
  answer.position = SelfStatus(rows).durable;
  this->next_poll = now;
  this->AwaitConfirmation(job, std::move(answer));
  this->confirmer.OnStatus(rows);
}

void MemberExecutor::FinishInTransaction(Connection& connection, const Job& job,
                                         const BatchResult& result) {
  Answered answer;
  answer.served_by = this->info.id;
  if (job.request.kind == RequestKind::kBegin) {
    connection.transaction = this->hooks.next_transaction();
    answer.transaction = connection.transaction;
    for (auto& entry : this->connections) {
      if (&entry.second == &connection) {
        this->transactions[connection.transaction] = entry.first;
      }
    }
    connection.state = State::kPinned;
    job.reply(answer);
    return;
  }
  if (job.request.kind == RequestKind::kRead ||
      job.request.kind == RequestKind::kWrite) {
    answer.result = result.results[connection.batch.statement];
    answer.transaction = connection.transaction;
    connection.state = State::kPinned;
    job.reply(answer);
    return;
  }
  this->transactions.erase(connection.transaction);
  connection.transaction = TransactionId();
  if (job.request.kind == RequestKind::kRollback) {
    job.reply(answer);
    return;
  }
  const auto rows =
      ParseMemberStatus(result.results[connection.batch.status_after]);
  answer.position = SelfStatus(rows).durable;
  this->AwaitConfirmation(job, std::move(answer));
  this->confirmer.OnStatus(rows);
}

void MemberExecutor::FinishFailed(const Connection& connection, const Job& job,
                                  const BatchResult& result) {
  const std::size_t failed_at = result.results.size();
  if (result.sqlstate == kUniqueViolation &&
      failed_at == connection.batch.identifier) {
    Answered answer;
    answer.served_by = this->info.id;
    answer.repeated = true;
    job.reply(answer);
  } else if (result.sqlstate == kReadOnly) {
    this->ReplyNotRun(job, RefusalCode::kNoPrimary, result.message);
  } else {
    job.reply(StatementFailed{result.sqlstate, result.message});
  }
}

void MemberExecutor::AwaitConfirmation(const Job& job, Answered answer) {
  const std::uint64_t waiting_id = this->next_waiting_id++;
  const LogPosition position = answer.position;
  this->awaiting.emplace(waiting_id, Awaiting{job, std::move(answer)});
  this->confirmer.Add(position, [this, waiting_id](Confirmation confirmation) {
    this->OnConfirmed(waiting_id, confirmation);
  });
}

void MemberExecutor::OnConfirmed(std::uint64_t waiting_id,
                                 Confirmation confirmation) {
  auto node = this->awaiting.extract(waiting_id);
  if (node.empty()) return;
  const Awaiting& waiting = node.mapped();
  if (waiting.job.request.kind == RequestKind::kRead) {
    this->FinishAwaitedRead(waiting, confirmation);
  } else if (confirmation == Confirmation::kConfirmed &&
             waiting.answer.position.term == this->term &&
             this->hooks.may_answer(this->present, this->term)) {
    waiting.job.reply(waiting.answer);
  } else {
    waiting.job.reply(
        UnknownOutcome{"the primary was replaced before a majority had it"});
  }
}

void MemberExecutor::FinishAwaitedRead(const Awaiting& waiting,
                                       Confirmation confirmation) {
  if (confirmation == Confirmation::kConfirmed &&
      this->hooks.may_answer(this->present, this->term)) {
    waiting.job.reply(waiting.answer);
    return;
  }
  this->ReplyNotRun(waiting.job, RefusalCode::kNoPrimary,
                    "no majority holds what the read saw");
}

void MemberExecutor::ExpireAwaiting(steady_clock::time_point now) {
  for (auto it = this->awaiting.begin(); it != this->awaiting.end();) {
    if (it->second.job.deadline > now) {
      ++it;
      continue;
    }
    if (it->second.job.request.kind == RequestKind::kRead) {
      this->FinishAwaitedRead(it->second, Confirmation::kTermEnded);
    } else {
      it->second.job.reply(
          UnknownOutcome{"no majority had the write within the time limit"});
    }
    it = this->awaiting.erase(it);
  }
}

void MemberExecutor::OnTick(steady_clock::time_point now) {
  this->control_calls.Expire(now);
  this->ObserveSilence(now);
  for (const Job& job : this->queue.TakeExpired(now)) {
    this->ReplyNotRun(job, RefusalCode::kDeadline,
                      "no connection was free within the time limit");
  }
  this->ExpireAwaiting(now);
  this->OpenMissing(now);
  this->Dispatch(now);
}

std::optional<steady_clock::time_point> MemberExecutor::NextWakeup() const {
  std::optional<steady_clock::time_point> next = this->queue.NextDeadline();
  const auto consider = [&next](steady_clock::time_point time) {
    if (!next || time < *next) next = time;
  };
  if (this->connections.size() < this->share) consider(this->reopen_at);
  if (const auto control = this->control_calls.NextDeadline()) {
    consider(*control);
  }
  // Without an idle connection the end of a batch polls, not the clock.
  if (this->WantsStatus() && !this->polling && this->HasIdle()) {
    consider(this->next_poll);
  }
  for (const auto& entry : this->awaiting) consider(entry.second.job.deadline);
  for (const auto& entry : this->connections) {
    const Connection& connection = entry.second;
    const bool waits =
        connection.state == State::kOpening || connection.state == State::kBusy;
    if (waits && !connection.reported_silent) {
      consider(connection.began + kSilenceThreshold);
    }
  }
  return next;
}

std::size_t MemberExecutor::Unfinished() const {
  std::size_t running = 0;
  for (const auto& entry : this->connections) {
    if (entry.second.job) ++running;
  }
  return this->queue.Size() + this->awaiting.size() + running;
}

}  // namespace lacewingferry
