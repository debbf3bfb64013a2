#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_MEMBER_EXECUTOR_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_MEMBER_EXECUTOR_H_

// Defines MemberExecutor, which runs requests on a proxy's own connections to
// one member.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "lacewingferry/core/events.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/traffic/control_calls.h"
#include "lacewingferry/decisions/traffic/job.h"
#include "lacewingferry/decisions/traffic/job_queue.h"
#include "lacewingferry/decisions/traffic/member_sign.h"
#include "lacewingferry/decisions/traffic/statement_batch.h"
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
  std::function<bool(std::chrono::steady_clock::time_point now,
                     std::uint64_t term)>
      may_answer;
  /** Told what the traffic shows of the member; may be empty. */
  MemberSignHook observe;
  /** Told what the member says of itself, and when it was asked. */
  std::function<void(std::chrono::steady_clock::time_point asked_at,
                     const MemberStatus&)>
      on_status;
  /** The time up to which a replica's data is complete if it includes a
   * position; none if that is not known. */
  std::function<std::optional<std::chrono::steady_clock::time_point>(
      const LogPosition&)>
      complete_until;
};

/**
 * Keeps at most this proxy's share of the member's slots, opened ahead of
 * need, and runs one request at a time on each. A transaction keeps its
 * connection to itself. A connection whose state is in doubt is closed.
 */
class MemberExecutor {
 public:
  MemberExecutor(ExecutorHooks hooks, std::string status_sql);

  /** Takes the member's current entry and this proxy's share of its slots.
   * Connections above the share close as they fall idle. */
  void Configure(std::chrono::steady_clock::time_point now,
                 const MemberInfo& info, std::uint32_t share, bool primary,
                 std::uint64_t term, std::uint32_t group_size);

  /** Takes that the member is gone: refuses what waits and closes idle
   * connections. */
  void Withdraw(std::chrono::steady_clock::time_point now);

  /** Runs a request or queues it until a connection is free. */
  void Submit(std::chrono::steady_clock::time_point now, Job job);

  /** Runs a statement of control ahead of all requests; reply gets none if
   * that doesn't succeed until the deadline. */
  void RunControlStatement(std::chrono::steady_clock::time_point now,
                           ControlCall call);

  /** Asks the member for its status on the next idle connection, ahead of all
   * requests; on_status gets the answer. */
  void AskStatus(std::chrono::steady_clock::time_point now);

  /** Answers or ends what waits after the proxy's lease or the terms that it
   * may speak for have changed. */
  void OnGateChanged(std::chrono::steady_clock::time_point now);

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
  bool Owns(ConnectionId id) const { return this->connections.count(id) > 0; }

  /** Requests that wait, run or await confirmation. */
  std::size_t Unfinished() const;

  /** Open transactions. */
  std::size_t OpenTransactions() const { return this->transactions.size(); }

  /** Connections that exist, also those being opened. */
  std::size_t Connections() const { return this->connections.size(); }

 private:
  enum class State : std::uint8_t { kOpening, kIdle, kBusy, kPinned };
  struct Connection {
    State state = State::kOpening;
    std::optional<Job> job;
    StatementBatch batch;
    TransactionId transaction;
    std::optional<ControlCall> control;
    /** When the batch or the attempt to connect began. */
    std::chrono::steady_clock::time_point began;
    bool reported_silent = false;
    /** The batch only asks for the primary's status or cleans up. */
    bool internal = false;
  };

  struct Awaiting {
    Job job;
    Answered answer;
  };

  void OpenMissing(std::chrono::steady_clock::time_point now);
  void Dispatch(std::chrono::steady_clock::time_point now);
  void Run(std::chrono::steady_clock::time_point now, ConnectionId id,
           Connection& connection, Job job);
  void RunControl(std::chrono::steady_clock::time_point now, ConnectionId id,
                  Connection& connection, ControlCall call);
  void Observe(std::chrono::steady_clock::time_point now, MemberSign sign);
  void ObserveSilence(std::chrono::steady_clock::time_point now);
  void RunInternal(std::chrono::steady_clock::time_point now, ConnectionId id,
                   Connection& connection, SqlBatch batch);
  void Release(std::chrono::steady_clock::time_point now, ConnectionId id);
  void CloseConnection(ConnectionId id);
  void FinishRead(std::chrono::steady_clock::time_point now,
                  const Connection& connection, const Job& job,
                  const BatchResult& result);
  void FinishWrite(std::chrono::steady_clock::time_point now,
                   const Connection& connection, const Job& job,
                   const BatchResult& result);
  void FinishInTransaction(Connection& connection, const Job& job,
                           const BatchResult& result);
  void FinishFailed(const Connection& connection, const Job& job,
                    const BatchResult& result);
  void SubmitInTransaction(std::chrono::steady_clock::time_point now, Job job);
  void AwaitConfirmation(const Job& job, Answered answer);
  void OnConfirmed(std::uint64_t waiting_id, Confirmation confirmation);
  void FinishAwaitedRead(const Awaiting& waiting, Confirmation confirmation);
  void ExpireAwaiting(std::chrono::steady_clock::time_point now);
  void PollPrimary(std::chrono::steady_clock::time_point now);
  void TakeStatus(const Connection& connection, const BatchResult& result);
  void ReplyNotRun(const Job& job, RefusalCode code, std::string detail);
  std::map<ConnectionId, Connection>::iterator FindIdle();
  bool HasIdle() const;
  bool WantsStatus() const {
    return this->confirmer.Waiting() || this->status_wanted;
  }

  ExecutorHooks hooks;
  std::string status_sql;
  MemberInfo info;
  std::uint32_t share = 0;
  bool primary = false;
  std::uint64_t term = 0;
  JobQueue queue;
  ControlCalls control_calls;
  WriteConfirmer confirmer;
  std::map<ConnectionId, Connection> connections;
  std::map<TransactionId, ConnectionId> transactions;
  std::chrono::steady_clock::time_point reopen_at;
  std::chrono::steady_clock::time_point next_poll;
  bool polling = false;
  bool status_wanted = false;
  /** The present of the event that is being handled. */
  std::chrono::steady_clock::time_point present;
  std::map<std::uint64_t, Awaiting> awaiting;
  std::uint64_t next_waiting_id = 1;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_MEMBER_EXECUTOR_H_
