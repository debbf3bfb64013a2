#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_MEMBER_EXECUTOR_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_MEMBER_EXECUTOR_H_

// Defines MemberExecutor, which runs requests on a proxy's own connections to
// one member.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/traffic/admission.h"
#include "lacewingferry/decisions/traffic/connection_pool.h"
#include "lacewingferry/decisions/traffic/control_calls.h"
#include "lacewingferry/decisions/traffic/job.h"
#include "lacewingferry/decisions/traffic/job_queue.h"
#include "lacewingferry/decisions/traffic/job_run.h"
#include "lacewingferry/decisions/traffic/load_estimate.h"
#include "lacewingferry/decisions/traffic/member_sign.h"
#include "lacewingferry/decisions/traffic/pending_answers.h"
#include "lacewingferry/decisions/traffic/status_polls.h"
#include "lacewingferry/decisions/traffic/transaction_table.h"
#include "lacewingferry/decisions/traffic/write_confirmer.h"
#include "lacewingferry/ports/event_port.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

/** What a MemberExecutor acts through. */
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
                     const MemberStatus&)>
      on_status;
  /** How old a replica's data is if it includes a position. */
  AgeHook age_of;
};

/** How a MemberExecutor works. */
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
};

/**
 * Keeps at most this proxy's share of the member's slots, opened ahead of
 * need, and runs one request at a time on each. A transaction keeps its
 * connection to itself. A connection whose state is in doubt is closed.
 *
 * A free connection serves, in this order: statements of control, the first
 * entry of a new term, an overdue question for confirmations, and the queue.
 */
class MemberExecutor {
 public:
  MemberExecutor(ExecutorHooks hooks, ExecutorSettings settings);
  MemberExecutor(const MemberExecutor&) = delete;
  MemberExecutor& operator=(const MemberExecutor&) = delete;

  /** Takes a new role. Connections above the share close as they fall idle;
   * what an earlier term left unanswered is given up. */
  void Configure(std::chrono::steady_clock::time_point now,
                 const ExecutorRole& role);

  /** Takes that the member is gone: refuses what waits and closes idle
   * connections. */
  void Withdraw(std::chrono::steady_clock::time_point now);

  /** Runs a request or queues it until a connection is free. */
  void Submit(std::chrono::steady_clock::time_point now, Job job);

  /** Runs a statement of control ahead of all requests; reply gets none if
   * that doesn't succeed until the deadline. One that changes the member's
   * role ends an idle transaction if there is no other connection. */
  void RunControlStatement(std::chrono::steady_clock::time_point now,
                           ControlCall call);

  /** Asks the member for its status on the next idle connection, ahead of
   * waiting requests; on_status gets the answer. */
  void AskStatus(std::chrono::steady_clock::time_point now);

  /** Answers or gives up what waits after the proxy's lease has changed or it
   * has released all terms up to released_term. */
  void OnGateChanged(std::chrono::steady_clock::time_point now,
                     std::uint64_t released_term);

  /** The events of this executor's connections. */
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const BatchResult& result);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Whether a connection is this executor's. */
  bool Owns(ConnectionId id) const { return this->pool.Owns(id); }

  /** Requests that wait, run or await confirmation. */
  std::size_t Unfinished() const;

  /** Open transactions. */
  std::size_t OpenTransactions() const { return this->transactions.Size(); }

  /** Connections that exist, also those being opened. */
  std::size_t Connections() const { return this->pool.Size(); }

 private:
  /** What runs on a connection: a request, a statement of control, or, with
   * neither, a question for the member's state. */
  struct Active {
    std::optional<JobRun> run;
    std::optional<ControlCall> control;
    /** The next statement of the transaction, if it came during a question. */
    std::optional<Job> next;
    std::chrono::steady_clock::time_point since;
  };

  void SubmitInTransaction(std::chrono::steady_clock::time_point now, Job job);
  AdmissionState Admission(std::chrono::steady_clock::time_point now) const;
  void Dispatch(std::chrono::steady_clock::time_point now);
  bool DispatchTo(std::chrono::steady_clock::time_point now, ConnectionId id);
  bool TermEntryDue(std::chrono::steady_clock::time_point now) const;
  bool PollOverdue(std::chrono::steady_clock::time_point now) const;
  std::optional<Job> NextJob(std::chrono::steady_clock::time_point now);
  void StartRun(std::chrono::steady_clock::time_point now, ConnectionId id,
                Job job);
  void StartControl(std::chrono::steady_clock::time_point now, ConnectionId id,
                    ControlCall call);
  void StartPoll(std::chrono::steady_clock::time_point now, ConnectionId id);
  void PollIfDue(std::chrono::steady_clock::time_point now);

  void OnRunResult(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const BatchResult& result);
  void NoteTransaction(std::chrono::steady_clock::time_point now,
                       ConnectionId id, const JobRun& run, const RunStep& step);
  void EndActive(std::chrono::steady_clock::time_point now, ConnectionId id,
                 ConnectionFate fate);
  void Tell(const JobRun& run, const Outcome& outcome);
  void HoldAnswer(std::chrono::steady_clock::time_point now, const JobRun& run,
                  HeldAnswer held);
  void OnControlResult(std::chrono::steady_clock::time_point now,
                       ConnectionId id, const BatchResult& result);
  void OnPollResult(std::chrono::steady_clock::time_point now, ConnectionId id,
                    const BatchResult& result);
  void TakeStatus(std::chrono::steady_clock::time_point now,
                  std::chrono::steady_clock::time_point asked_at,
                  const std::vector<MemberStatus>& rows);
  void FailActive(ConnectionId id);
  void CloseInDoubt(ConnectionId id);
  void AbortTransactions(const std::vector<TransactionId>& ids);
  void AbandonOverdue(std::chrono::steady_clock::time_point now);
  void Refuse(const Job& job, const NotRun& refusal);

  ExecutorHooks hooks;
  ExecutorSettings settings;
  ExecutorRole role;
  std::uint64_t released_term = 0;
  ConnectionPool pool;
  JobQueue queue;
  ControlCalls control_calls;
  WriteConfirmer confirmer;
  PendingAnswers pending;
  StatusPolls polls;
  bool status_wanted = false;
  LoadEstimate load;
  TransactionTable transactions;
  std::map<ConnectionId, Active> active;
  /** When the first entry of the term may be written, or written again. */
  std::chrono::steady_clock::time_point term_entry_at;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_MEMBER_EXECUTOR_H_
