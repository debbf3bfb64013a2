#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_LEADER_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_LEADER_H_

// Defines RaftLeader, one term of office of a leader of the control log.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "lacewingferry/decisions/consensus/follower_progress.h"
#include "lacewingferry/decisions/consensus/membership_change.h"
#include "lacewingferry/decisions/consensus/raft_context.h"
#include "lacewingferry/decisions/consensus/round_times.h"

namespace lacewingferry {

/**
 * Replicates the log to the followers. Each follower has at most one append
 * with entries in flight; entries proposed meanwhile go together in the next
 * one. Empty heartbeats go out in between.
 *
 * All calls that take entries or answers may throw StorageError.
 */
class RaftLeader {
 public:
  /** Takes office: appends an empty entry of its term and sends a round. */
  RaftLeader(RaftContext& shared, std::chrono::steady_clock::time_point now);

  /** When OnTick has something to do. */
  std::chrono::steady_clock::time_point NextHeartbeat() const {
    return this->next_heartbeat;
  }

  /** Sends a round when it is due; gives up office when no quorum answered
   * within election_timeout_max. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** Appends a command. None when too many entries wait for a quorum. */
  std::optional<std::uint64_t> Propose(
      std::chrono::steady_clock::time_point now, std::string payload);

  /** Appends a changed configuration that CheckChange allowed. */
  std::uint64_t ProposeChange(std::chrono::steady_clock::time_point now,
                              const MembershipChange& change);

  void OnAppendReply(std::chrono::steady_clock::time_point now,
                     const AppendReply& reply);

  /** Whether reads of the applied state are current: an entry of this term is
   * committed and a quorum answered a round sent within the lease. Ask again
   * after the read if the process may have been paused meanwhile. */
  bool CanServeReads(std::chrono::steady_clock::time_point now) const;

  GroupStatus Status(std::chrono::steady_clock::time_point now) const;

 private:
  bool Ready() const { return this->context.commit_index >= this->first_index; }
  std::uint64_t AppendEntry(std::chrono::steady_clock::time_point now,
                            EntryKind kind, std::string payload,
                            ControlConfiguration configuration);
  void UpdateFollowers(std::chrono::steady_clock::time_point now);
  void BeginRound(std::chrono::steady_clock::time_point now);
  void SendEntries(std::chrono::steady_clock::time_point now);
  void SendEntriesTo(std::chrono::steady_clock::time_point now,
                     const ControlMember& member);
  void SendHeartbeatTo(const ControlMember& member);
  void SendSnapshotTo(std::chrono::steady_clock::time_point now,
                      const ControlMember& member);
  AppendRequest MakeAppend(const ControlMember& member,
                           std::uint64_t previous_index) const;
  void Confirm(std::chrono::steady_clock::time_point now,
               const AppendReply& reply, FollowerProgress& follower) const;
  void Accept(const AppendReply& reply, FollowerProgress& follower) const;
  /** Whether the follower's next entry moved back. */
  bool Reject(const AppendReply& reply, FollowerProgress& follower) const;
  void AdvanceCommit();
  bool HearsQuorum(std::chrono::steady_clock::time_point now) const;
  bool Connected(std::chrono::steady_clock::time_point now,
                 const VoterId& voter) const;

  RaftContext& context;
  std::map<VoterId, FollowerProgress> followers;
  RoundTimes rounds;
  std::chrono::steady_clock::time_point next_heartbeat;
  /** The first entry of this term. */
  std::uint64_t first_index = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_LEADER_H_
