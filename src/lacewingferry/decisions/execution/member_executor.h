#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_EXECUTOR_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_EXECUTOR_H_

// Defines MemberExecutor, which runs requests on a proxy's own connections to
// one member.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "lacewingferry/core/job.h"
#include "lacewingferry/decisions/execution/admission.h"
#include "lacewingferry/decisions/execution/control_calls.h"
#include "lacewingferry/decisions/execution/member_runs.h"
#include "lacewingferry/decisions/limits/job_queue.h"
#include "lacewingferry/decisions/limits/queue_bound.h"

namespace lacewingferry {

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

  /** Takes how many slots this proxy holds. Closes connections above that at
   * once and opens what is missing of the share. */
  void LimitConnections(std::chrono::steady_clock::time_point now,
                        std::size_t most);

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
                   const MemberBatchResult& result);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Whether a connection is this executor's. */
  bool Owns(ConnectionId id) const { return this->runs.Pool().Owns(id); }

  /** Whether the member is a replica and none of the connections to it serves,
   * so that reads have to go elsewhere. */
  bool Unserving(std::chrono::steady_clock::time_point now) const;

  /** Requests that wait, run or await confirmation. */
  std::size_t Unfinished() const;

  /** Open transactions. */
  std::size_t OpenTransactions() const { return this->runs.OpenTransactions(); }

  /** Connections that exist, also those being opened. */
  std::size_t Connections() const { return this->runs.Pool().Size(); }

 private:
  void RefuseQueued(RefusalCode code, const char* detail);
  void RefuseIfUnserving(std::chrono::steady_clock::time_point now);
  AdmissionState Admission(std::chrono::steady_clock::time_point now) const;
  void Dispatch(std::chrono::steady_clock::time_point now);
  bool DispatchTo(std::chrono::steady_clock::time_point now, ConnectionId id);
  bool TermEntryDue(std::chrono::steady_clock::time_point now) const;
  std::optional<Job> NextJob(std::chrono::steady_clock::time_point now);

  PendingAnswers::GateHook may_answer;
  ExecutorRole role;
  MemberRuns runs;
  JobQueue queue;
  QueueBound queue_bound;
  ControlCalls control_calls;
  /** When the first entry of the term may be written, or written again. */
  std::chrono::steady_clock::time_point term_entry_at;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_EXECUTOR_H_
