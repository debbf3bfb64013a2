#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_RUNS_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_RUNS_H_

// Defines MemberRuns, what runs on a proxy's own connections to one member and
// the answers that it holds back.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/job.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/execution/admission.h"
#include "lacewingferry/decisions/execution/connection_pool.h"
#include "lacewingferry/decisions/execution/control_calls.h"
#include "lacewingferry/decisions/execution/job_run.h"
#include "lacewingferry/decisions/execution/member_sign.h"
#include "lacewingferry/decisions/execution/pending_answers.h"
#include "lacewingferry/decisions/execution/status_polls.h"
#include "lacewingferry/decisions/execution/transaction_table.h"
#include "lacewingferry/decisions/execution/write_confirmer.h"
#include "lacewingferry/decisions/limits/load_estimate.h"
#include "lacewingferry/ports/event_port.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

/** What an executor acts through. */
struct ExecutorHooks {
  MemberPort port;
  EventPort events;
  /** A number for a new connection. */
  std::function<ConnectionId()> next_connection;
  /** A name for a new transaction. */
  std::function<TransactionId()> next_transaction;
  /** Whether an answer of a primary of the term may leave now. */
  PendingAnswers::GateHook may_answer;
  /** Told what the traffic shows of the member; may be empty. */
  MemberSignHook observe;
  /** Told what the member says of itself, and when it was asked. */
  std::function<void(std::chrono::steady_clock::time_point asked_at,
                     const GroupMemberState&)>
      on_status;
  /** How old a replica's data is if it includes a position. */
  AgeHook age_of;
};

/** How an executor works. */
struct ExecutorSettings {
  RunSettings run;
  TransactionLimits transactions;
  /** Varies the pauses of different executors. */
  std::uint64_t seed = 1;
};

/** What the member is to this proxy at present. */
struct ExecutorRole {
  MemberInfo info;
  /** This proxy's share of the member's slots. */
  std::uint32_t share = 0;
  bool primary = false;
  std::uint64_t term = 0;
  std::uint32_t group_size = 3;
  /** The members of which a majority is counted. */
  std::vector<MemberId> counted_members;
};

/** Runs one batch at a time on each connection and turns the results into
 * outcomes. What to run next is the executor's choice. A transaction keeps its
 * connection to itself. */
class MemberRuns {
 public:
  MemberRuns(ExecutorHooks hooks, ExecutorSettings settings);
  MemberRuns(const MemberRuns&) = delete;
  MemberRuns& operator=(const MemberRuns&) = delete;

  /** Takes a new role; what an earlier term left unanswered is given up. */
  void Configure(const ExecutorRole& role);

  /** Answers or gives up what waits after the lease has changed or all terms
   * up to released_term were released. */
  void OnGateChanged(std::chrono::steady_clock::time_point now,
                     std::uint64_t released_term);

  /** Starts something on an idle connection, or a poll on a pinned one. */
  void StartRun(std::chrono::steady_clock::time_point now, ConnectionId id,
                Job job);
  void StartControl(std::chrono::steady_clock::time_point now, ConnectionId id,
                    ControlCall call);
  void StartPoll(std::chrono::steady_clock::time_point now, ConnectionId id);

  /** Runs a statement on its transaction's connection. */
  void SubmitInTransaction(std::chrono::steady_clock::time_point now, Job job);

  /** Rolls back a transaction that runs no statement now, if there is one. */
  void EndIdleTransaction();

  /** Closes connections, the idle ones first, until no more than most exist.
   * What runs on the others is given up. */
  void LimitConnections(std::size_t most);

  /** Tells a job that it was refused. */
  void Refuse(const Job& job, const NotRun& refusal);

  /** The events of the connections. */
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const MemberBatchResult& result);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Asks the member for its status on the next connection that is free. */
  void AskStatus() { this->status_wanted = true; }
  /** Whether the member has to be asked before anything else runs. */
  bool PollOverdue(std::chrono::steady_clock::time_point now) const;
  /** Asks the primary if that is due and a connection is free for it. */
  void PollIfDue(std::chrono::steady_clock::time_point now);

  ConnectionPool& Pool() { return this->pool; }
  const ConnectionPool& Pool() const { return this->pool; }
  LoadEstimate& Load() { return this->load; }
  const LoadEstimate& Load() const { return this->load; }
  /** Whether the primary's log has an entry of its own term. */
  bool TermBegun() const { return this->confirmer.TermBegun(); }
  /** Requests that run or await confirmation. */
  std::size_t Unfinished() const;
  std::size_t OpenTransactions() const { return this->transactions.Size(); }

 private:
  /** What runs on a connection: a request, a statement of control, or, with
   * neither, a question for the member's state. */
  struct Active {
    std::optional<JobRun> run;
    std::optional<ControlCall> control;
    /** The next statement of the transaction, if it came during a question. */
    std::optional<Job> next;
    std::chrono::steady_clock::time_point since;
    /** Whether the time until the end counts as that of a usual request. */
    bool measured = false;
  };

  static std::chrono::steady_clock::time_point HungAt(const Active& running);
  void OnRunResult(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const MemberBatchResult& result);
  void NoteTransaction(std::chrono::steady_clock::time_point now,
                       ConnectionId id, const JobRun& run, const RunStep& step);
  void EndActive(std::chrono::steady_clock::time_point now, ConnectionId id,
                 ConnectionFate fate);
  void Tell(const JobRun& run, const Outcome& outcome);
  void HoldAnswer(std::chrono::steady_clock::time_point now, const JobRun& run,
                  HeldAnswer held);
  void OnControlResult(std::chrono::steady_clock::time_point now,
                       ConnectionId id, const MemberBatchResult& result);
  void OnPollResult(std::chrono::steady_clock::time_point now, ConnectionId id,
                    const MemberBatchResult& result);
  void TakeStatus(std::chrono::steady_clock::time_point now,
                  std::chrono::steady_clock::time_point asked_at,
                  const std::vector<GroupMemberState>& rows);
  /** Forgets a transaction whose commit was sent; else notes its abort. */
  void EndTransaction(const TransactionId& id, const Active& by);
  void FailActive(ConnectionId id);
  void CloseInDoubt(ConnectionId id);
  void AbortTransactions(const std::vector<TransactionId>& ids);
  void AbandonOverdue(std::chrono::steady_clock::time_point now);

  ExecutorHooks hooks;
  ExecutorSettings settings;
  ExecutorRole role;
  std::uint64_t released_term = 0;
  ConnectionPool pool;
  WriteConfirmer confirmer;
  PendingAnswers pending;
  StatusPolls polls;
  bool status_wanted = false;
  LoadEstimate load;
  TransactionTable transactions;
  std::map<ConnectionId, Active> active;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_RUNS_H_
