#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_BATCH_RUNNER_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_BATCH_RUNNER_H_

// BatchRunner runs batches on this proxy's own connections to one member and
// holds back answers until they may be sent.

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
#include "lacewingferry/decisions/execution/member_observation.h"
#include "lacewingferry/decisions/execution/pending_answers.h"
#include "lacewingferry/decisions/execution/status_polls.h"
#include "lacewingferry/decisions/execution/transaction_table.h"
#include "lacewingferry/decisions/execution/write_confirmer.h"
#include "lacewingferry/decisions/limits/load_estimate.h"
#include "lacewingferry/ports/event_port.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

/** The ports and callbacks of an executor. */
struct ExecutorHooks {
  MemberPort port;
  EventPort events;
  /** Returns the identifier of a new connection. */
  std::function<ConnectionId()> next_connection;
  /** Returns the identifier of a new transaction. */
  std::function<TransactionId()> next_transaction;
  /** Whether an answer of the primary of the term may be sent now. */
  PendingAnswers::MayAnswerHook may_answer;
  /** Receives observations of the member's health; may be empty. */
  MemberObservationHook observe;
  /** Receives the state that the member reports of itself, and when the batch
   * was started. */
  std::function<void(std::chrono::steady_clock::time_point asked_at,
                     const GroupMemberState&)>
      on_status;
  /** Returns the age bound of a replica's data that includes a position. */
  AgeHook age_of;
};

/** The settings of an executor. */
struct ExecutorSettings {
  RunSettings run;
  TransactionLimits transactions;
  /** Makes the retry delays of different executors differ. */
  std::uint64_t seed = 1;
};

/** The member's present role and this proxy's share of it. */
struct ExecutorRole {
  MemberInfo info;
  /** This proxy's share of the member's slots. */
  std::uint32_t share = 0;
  bool primary = false;
  std::uint64_t term = 0;
  std::uint32_t group_size = 3;
  /** The members that count towards a majority. */
  std::vector<MemberId> counted_members;
};

/** Runs one batch at a time on each connection and turns the results into
 * outcomes. MemberExecutor chooses what to run next. A transaction has
 * exclusive use of its connection. */
class BatchRunner {
 public:
  BatchRunner(ExecutorHooks hooks, ExecutorSettings settings);
  BatchRunner(const BatchRunner&) = delete;
  BatchRunner& operator=(const BatchRunner&) = delete;

  /** Applies a new role. Ends pending answers and transactions of earlier
   * terms. */
  void Configure(const ExecutorRole& role);

  /** Call after the lease has changed or all terms up to released_term were
   * released. Sends the pending answers that are now allowed, and ends those
   * and the transactions of released terms. */
  void OnGateChanged(std::chrono::steady_clock::time_point now,
                     std::uint64_t released_term);

  /** Start a request, a control statement or a status poll on an idle
   * connection. A statement of a transaction, and a poll, may also start on a
   * pinned one. */
  void StartRun(std::chrono::steady_clock::time_point now, ConnectionId id,
                Job job);
  void StartControl(std::chrono::steady_clock::time_point now, ConnectionId id,
                    ControlCall call);
  void StartPoll(std::chrono::steady_clock::time_point now, ConnectionId id);

  /** Runs a statement on the connection of its transaction. */
  void SubmitInTransaction(std::chrono::steady_clock::time_point now, Job job);

  /** Aborts one transaction that runs no statement now, if there is any. */
  void EndIdleTransaction();

  /** Closes connections, idle ones first, until at most that many exist. What
   * runs on a closed connection fails. */
  void LimitConnections(std::size_t max_connections);

  /** Records the refusal of a job and sends it to the caller. */
  void Refuse(const Job& job, const NotRun& refusal);

  /** Handle the events of the connections. */
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const MemberBatchResult& result);

  /** Handles expired deadlines and sends answers that are now allowed. */
  void OnTick(std::chrono::steady_clock::time_point now);
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Requests a status poll on the next idle connection. */
  void RequestStatus() { this->status_requested = true; }
  /** Whether a status poll has to be sent before queued requests. */
  bool PollOverdue(std::chrono::steady_clock::time_point now) const;
  /** Starts a status poll if one is due and a connection is free. */
  void PollIfDue(std::chrono::steady_clock::time_point now);

  ConnectionPool& Pool() { return this->pool; }
  const ConnectionPool& Pool() const { return this->pool; }
  LoadEstimate& Load() { return this->load; }
  const LoadEstimate& Load() const { return this->load; }
  /** Whether the primary's log has an entry of its own term. */
  bool TermBegun() const { return this->confirmer.TermBegun(); }
  /** Number of requests that are running or awaiting confirmation. */
  std::size_t Unfinished() const;
  std::size_t OpenTransactions() const { return this->transactions.Size(); }

 private:
  /** What runs on a connection: a request, a control statement, or, if neither
   * is set, a status poll. */
  struct ActiveBatch {
    std::optional<JobRun> run;
    std::optional<ControlCall> control;
    /** The next statement of the transaction, if it arrived during a poll. */
    std::optional<Job> next;
    std::chrono::steady_clock::time_point since;
    /** Whether the request runs outside a transaction, so that its duration
     * counts as that of a usual request. */
    bool measured = false;
  };

  static std::chrono::steady_clock::time_point HangDeadline(
      const ActiveBatch& running);
  void OnRunResult(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const MemberBatchResult& result);
  void UpdateTransaction(std::chrono::steady_clock::time_point now,
                         ConnectionId id, const JobRun& run,
                         const RunStep& step);
  void EndActive(std::chrono::steady_clock::time_point now, ConnectionId id,
                 ConnectionDisposition disposition);
  void SendOutcome(const JobRun& run, const Outcome& outcome);
  void HoldAnswer(std::chrono::steady_clock::time_point now, const JobRun& run,
                  HeldAnswer held);
  void OnControlResult(std::chrono::steady_clock::time_point now,
                       ConnectionId id, const MemberBatchResult& result);
  void OnPollResult(std::chrono::steady_clock::time_point now, ConnectionId id,
                    const MemberBatchResult& result);
  void ProcessStatus(std::chrono::steady_clock::time_point now,
                     std::chrono::steady_clock::time_point asked_at,
                     const std::vector<GroupMemberState>& rows);
  /** Removes a transaction; marks it as aborted unless its commit was sent. */
  void EndTransaction(const TransactionId& id, const ActiveBatch& last_batch);
  void FailActive(ConnectionId id);
  void CloseAndFail(ConnectionId id);
  void AbortTransactions(const std::vector<TransactionId>& ids);
  void AbandonOverdueRequests(std::chrono::steady_clock::time_point now);

  ExecutorHooks hooks;
  ExecutorSettings settings;
  ExecutorRole role;
  std::uint64_t released_term = 0;
  ConnectionPool pool;
  WriteConfirmer confirmer;
  PendingAnswers pending;
  StatusPolls polls;
  bool status_requested = false;
  LoadEstimate load;
  TransactionTable transactions;
  std::map<ConnectionId, ActiveBatch> active;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_BATCH_RUNNER_H_
