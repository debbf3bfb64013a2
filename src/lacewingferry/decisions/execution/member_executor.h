#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_EXECUTOR_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_EXECUTOR_H_

// MemberExecutor queues requests and runs them on this proxy's own connections
// to one member.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "lacewingferry/core/job.h"
#include "lacewingferry/decisions/execution/admission.h"
#include "lacewingferry/decisions/execution/batch_runner.h"
#include "lacewingferry/decisions/execution/control_calls.h"
#include "lacewingferry/decisions/limits/job_queue.h"
#include "lacewingferry/decisions/limits/queue_bound.h"

namespace lacewingferry {

/**
 * Keeps at most this proxy's share of the member's connection slots, opens the
 * connections before they are needed, and runs one request at a time on each. A
 * transaction has exclusive use of its connection. A connection whose state is
 * unknown is closed.
 *
 * An idle connection takes work in this order: control statements, the first
 * log entry of a new term, an overdue status poll, and the request queue.
 */
class MemberExecutor {
 public:
  MemberExecutor(ExecutorHooks hooks, ExecutorSettings settings);
  MemberExecutor(const MemberExecutor&) = delete;
  MemberExecutor& operator=(const MemberExecutor&) = delete;

  /** Applies a new role. Connections above the share are closed as they become
   * idle. Ends pending answers and transactions of earlier terms. */
  void Configure(std::chrono::steady_clock::time_point now,
                 const ExecutorRole& role);

  /** Sets how many slots this proxy holds. Closes connections above that at
   * once and opens missing ones up to the share. */
  void LimitConnections(std::chrono::steady_clock::time_point now,
                        std::size_t max_connections);

  /** Handles the removal of the member: refuses queued requests and closes idle
   * connections. */
  void OnMemberRemoved(std::chrono::steady_clock::time_point now);

  /** Runs a request or queues it until a connection is free. */
  void Submit(std::chrono::steady_clock::time_point now, Job job);

  /** Runs a control statement before all requests; reply gets no result if it
   * doesn't succeed before its deadline. A statement that changes the member's
   * role aborts an idle transaction if no other connection is free. */
  void RunControlStatement(std::chrono::steady_clock::time_point now,
                           ControlCall call);

  /** Queries the member's status on the next idle connection, before queued
   * requests; the on_status hook gets the result. */
  void RequestStatus(std::chrono::steady_clock::time_point now);

  /** Call after the proxy's lease has changed or it has released all terms up
   * to released_term. Sends the pending answers that are now allowed, and ends
   * those and the transactions of released terms. */
  void OnGateChanged(std::chrono::steady_clock::time_point now,
                     std::uint64_t released_term);

  /** Handle the events of this executor's connections. */
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const MemberBatchResult& result);

  /** Handles expired deadlines and starts work that is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Whether the connection belongs to this executor. */
  bool Owns(ConnectionId id) const { return this->runner.Pool().Owns(id); }

  /** Whether the member is a replica without a usable connection, so that reads
   * have to go to another member. */
  bool IsUnavailable(std::chrono::steady_clock::time_point now) const;

  /** Number of requests that are queued, running or awaiting confirmation. */
  std::size_t Unfinished() const;

  /** Number of open transactions. */
  std::size_t OpenTransactions() const {
    return this->runner.OpenTransactions();
  }

  /** Number of connections, including those being opened. */
  std::size_t Connections() const { return this->runner.Pool().Size(); }

 private:
  void RefuseQueued(RefusalCode code, const char* detail);
  void RefuseIfUnavailable(std::chrono::steady_clock::time_point now);
  AdmissionState Admission(std::chrono::steady_clock::time_point now) const;
  void Dispatch(std::chrono::steady_clock::time_point now);
  bool DispatchTo(std::chrono::steady_clock::time_point now, ConnectionId id);
  bool TermEntryDue(std::chrono::steady_clock::time_point now) const;
  std::optional<Job> NextJob(std::chrono::steady_clock::time_point now);

  PendingAnswers::MayAnswerHook may_answer;
  ExecutorRole role;
  BatchRunner runner;
  JobQueue queue;
  QueueBound queue_bound;
  ControlCalls control_calls;
  /** The earliest time of the next attempt to write the first log entry of the
   * term. */
  std::chrono::steady_clock::time_point term_entry_at;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_EXECUTOR_H_
