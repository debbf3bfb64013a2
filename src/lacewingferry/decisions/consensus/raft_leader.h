#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_LEADER_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_LEADER_H_

// Defines RaftLeader, the leader of the control log during one term.

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
 * Replicates the log to the followers. At most one append request with entries
 * is in flight to each follower; entries proposed meanwhile are batched into
 * the next one. Empty heartbeats are sent in between.
 *
 * All calls that take entries or replies may throw StorageError.
 */
class RaftLeader {
 public:
  /** Appends an empty entry of the new term and sends it to all followers. */
  RaftLeader(RaftContext& shared, std::chrono::steady_clock::time_point now);

  /** When OnTick is next due. */
  std::chrono::steady_clock::time_point NextHeartbeat() const {
    return this->next_heartbeat;
  }

  /** Sends a round when it is due; steps down if no quorum replied within
   * election_timeout_max. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** Appends a command and returns its index; none if too many entries are
   * uncommitted. */
  std::optional<std::uint64_t> Propose(
      std::chrono::steady_clock::time_point now, std::string payload);

  /** Appends the configuration after a change that CheckChange allowed, and
   * returns its index. */
  std::uint64_t ProposeChange(std::chrono::steady_clock::time_point now,
                              const MembershipChange& change);

  void OnAppendReply(std::chrono::steady_clock::time_point now,
                     const AppendReply& reply);

  /** Whether reads of the applied state are current: an entry of this term is
   * committed and a quorum replied to a round sent within the lease. Check
   * again after the read if the process may have been paused meanwhile. */
  bool CanServeReads(std::chrono::steady_clock::time_point now) const;

  GroupStatus Status(std::chrono::steady_clock::time_point now) const;

 private:
  bool CommittedInTerm() const {
    return this->context.commit_index >= this->first_index;
  }
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
  void RecordReply(std::chrono::steady_clock::time_point now,
                   const AppendReply& reply, FollowerProgress& follower) const;
  void HandleSuccess(const AppendReply& reply,
                     FollowerProgress& follower) const;
  /** Whether a replica that stores entries up to `match` may become a voter. */
  bool IsCaughtUp(std::uint64_t match) const;
  void ReportCaughtUp(std::chrono::steady_clock::time_point now,
                      const ControlMember& member,
                      FollowerProgress& follower) const;
  /** Returns whether the follower's next index was moved back. */
  bool HandleRejection(const AppendReply& reply,
                       FollowerProgress& follower) const;
  void AdvanceCommit();
  bool QuorumConnected(std::chrono::steady_clock::time_point now) const;
  bool Connected(std::chrono::steady_clock::time_point now,
                 const VoterId& voter) const;

  RaftContext& context;
  std::map<VoterId, FollowerProgress> followers;
  RoundTimes rounds;
  std::chrono::steady_clock::time_point next_heartbeat;
  /** Index of the first entry of this term. */
  std::uint64_t first_index = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_LEADER_H_
