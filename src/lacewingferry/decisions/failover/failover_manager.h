#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_MANAGER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_MANAGER_H_

// Defines FailoverManager, control's part in leases and failover.

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
 * Runs at each replica of control and acts at the one that leads: grants
 * leases, opens inquiries on suspicion, begins terms, runs failovers and tells
 * the proxies what changed. Every decision that has to last is a command of
 * the control log, and has its effect when the command comes back applied.
 */
class FailoverManager {
 public:
  /** Reads the replicated state, which must outlive the manager. */
  FailoverManager(const DatabaseTerms& terms, FailoverHooks hooks,
                  FailoverSettings settings = {});

  FailoverManager(const FailoverManager&) = delete;
  FailoverManager& operator=(const FailoverManager&) = delete;

  /** Takes office or loses it. Call with true once this replica leads and its
   * applied state is current (RaftNode::CanServeReads turned true). */
  void OnLeadership(std::chrono::steady_clock::time_point now, bool leader);

  /** Takes a command that was just applied to the terms. Call on each
   * replica. */
  void OnApplied(std::chrono::steady_clock::time_point now,
                 const DatabaseCommand& command, CommandVerdict verdict);

  /** Takes a member's announcement that some proxy passed on. */
  void OnAnnouncement(std::chrono::steady_clock::time_point now,
                      const MemberAnnouncement& announcement);

  /** Takes a message of a proxy; returns whether it was one of failover's.
   * The leader must be sure that it leads at this moment
   * (RaftNode::CanServeReads), or drop the message. */
  bool OnMessage(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const PeerBody& body);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next; none while not leading. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

 private:
  /** A command that came back while an input was being worked on. */
  struct Applied {
    DatabaseCommand command;
    CommandVerdict verdict = CommandVerdict::kApplied;
  };
  using Runs = std::map<DatabaseId, std::unique_ptr<FailoverRun>>;

  template <typename Action>
  void Handle(std::chrono::steady_clock::time_point now, Action action);
  void TakeApplied(std::chrono::steady_clock::time_point now,
                   const DatabaseCommand& command);
  bool Dispatch(std::chrono::steady_clock::time_point now, const NodeId& from,
                const PeerBody& body);
  void RunDue(std::chrono::steady_clock::time_point now);
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
  void SettleInquiry(std::chrono::steady_clock::time_point now,
                     const DatabaseId& database);
  void StartRun(std::chrono::steady_clock::time_point now,
                const DatabaseTerm& entry);
  void LookForSilentHolders(std::chrono::steady_clock::time_point now);
  void BringBack(std::chrono::steady_clock::time_point now,
                 const MemberAnnouncement& announcement);
  void OrderToRejoin(std::chrono::steady_clock::time_point now,
                     const MemberAnnouncement& announcement,
                     const DatabaseTerm& entry);
  void Publish(std::uint64_t from_revision);
  void Record(EventCode code, EventLevel level, const DatabaseTerm& entry,
              const std::string& detail);

  FailoverContext context;
  LeaseGrantor grantor;
  MemberCommander commander;
  MemberChanges changes;
  bool leader = false;
  /** Whether an input is being worked on; a control log of one replica applies
   * a proposal before it returns. */
  bool handling = false;
  std::deque<Applied> applied;
  std::uint64_t next_inquiry = 1;
  std::uint64_t published_revision = 0;
  std::chrono::steady_clock::time_point next_sweep;
  Runs runs;
  std::map<DatabaseId, PrimaryInquiry> inquiries;
  /** Before these times silence alone opens no inquiry. */
  std::map<DatabaseId, std::chrono::steady_clock::time_point> held_down;
  std::map<MemberId, std::chrono::steady_clock::time_point> next_rejoin;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_MANAGER_H_
