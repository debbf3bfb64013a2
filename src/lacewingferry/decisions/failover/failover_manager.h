#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_MANAGER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_MANAGER_H_

// Defines FailoverManager, the control service's side of leases and failover.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/failover/database_terms.h"
#include "lacewingferry/decisions/failover/failover_context.h"
#include "lacewingferry/decisions/failover/failover_procedure.h"
#include "lacewingferry/decisions/failover/member_change_manager.h"
#include "lacewingferry/decisions/failover/member_command_sender.h"
#include "lacewingferry/decisions/failover/primary_inquiry.h"
#include "lacewingferry/decisions/lease/lease_grantor.h"

namespace lacewingferry {

/**
 * Runs at each control replica and acts at the leader: grants leases, opens
 * inquiries when a primary is suspected, begins terms, runs failover procedures
 * and sends changes to the proxies. Every decision that must survive a change
 * of leader is a command of the control log, and takes effect when the command
 * is applied.
 */
class FailoverManager {
 public:
  /** Reads the replicated state, which must outlive the manager. */
  FailoverManager(const DatabaseTerms& terms, FailoverHooks hooks,
                  FailoverSettings settings = {});

  FailoverManager(const FailoverManager&) = delete;
  FailoverManager& operator=(const FailoverManager&) = delete;

  /** Starts or stops acting as the leader. Call with true once this replica
   * leads and its applied state is current (RaftNode::CanServeReads turned
   * true). */
  void OnLeadership(std::chrono::steady_clock::time_point now, bool leader);

  /** Processes a command that was just applied to the terms. Call on each
   * replica. */
  void OnApplied(std::chrono::steady_clock::time_point now,
                 const DatabaseCommand& command, ApplyResult result);

  /** Processes a member's announcement that a proxy forwarded. */
  void OnAnnouncement(std::chrono::steady_clock::time_point now,
                      const MemberAnnouncement& announcement);

  /** Processes a proxy's message; returns whether it is a failover message. The
   * caller must make sure that this replica leads at this moment
   * (RaftNode::CanServeReads), or drop the message. */
  bool OnMessage(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const PeerBody& body);

  /** Runs the work that is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick must be called next; empty while not leading. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

 private:
  /** An applied command that waits until the current input is processed. */
  struct AppliedCommand {
    DatabaseCommand command;
    ApplyResult result = ApplyResult::kApplied;
  };
  using Procedures = std::map<DatabaseId, std::unique_ptr<FailoverProcedure>>;

  template <typename Action>
  void HandleInput(std::chrono::steady_clock::time_point now, Action action);
  void HandleApplied(std::chrono::steady_clock::time_point now,
                     const DatabaseCommand& command);
  bool Dispatch(std::chrono::steady_clock::time_point now, const NodeId& from,
                const PeerBody& body);
  void RunTimers(std::chrono::steady_clock::time_point now);
  void OnRenewal(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const LeaseRenewal& renewal);
  void OnReleased(std::chrono::steady_clock::time_point now, const NodeId& from,
                  const LeaseReleased& released);
  void OnSuspicion(std::chrono::steady_clock::time_point now,
                   const NodeId& from, const PrimarySuspicion& suspicion);
  void OnObserveReply(std::chrono::steady_clock::time_point now,
                      const ObserveReply& reply);
  void OnUpdateRequest(const NodeId& from, const ClusterUpdateRequest& request);
  void OpenInquiry(std::chrono::steady_clock::time_point now,
                   const DatabaseTerm& entry, const char* reason);
  void FinishInquiry(std::chrono::steady_clock::time_point now,
                     const DatabaseId& database);
  void StartProcedure(std::chrono::steady_clock::time_point now,
                      const DatabaseTerm& entry);
  void CheckLeaseHolders(std::chrono::steady_clock::time_point now);
  void RejoinIfNeeded(std::chrono::steady_clock::time_point now,
                      const MemberAnnouncement& announcement);
  void StartRejoin(std::chrono::steady_clock::time_point now,
                   const MemberAnnouncement& announcement,
                   const DatabaseTerm& entry);
  void Publish(std::uint64_t from_revision);
  void Record(EventCode code, EventLevel level, const DatabaseTerm& entry,
              const std::string& detail);

  FailoverContext context;
  LeaseGrantor grantor;
  MemberCommandSender command_sender;
  MemberChangeManager changes;
  bool leader = false;
  /** Whether an input is being processed. A control service of one replica
   * applies a proposal, and so calls OnApplied, before propose returns. */
  bool handling_input = false;
  std::deque<AppliedCommand> applied_commands;
  std::uint64_t next_inquiry = 1;
  std::uint64_t published_revision = 0;
  std::chrono::steady_clock::time_point next_holder_check;
  Procedures procedures;
  std::map<DatabaseId, PrimaryInquiry> inquiries;
  /** Until these times, silence alone opens no inquiry. */
  std::map<DatabaseId, std::chrono::steady_clock::time_point> hold_downs;
  std::map<MemberId, std::chrono::steady_clock::time_point> next_rejoin;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_MANAGER_H_
