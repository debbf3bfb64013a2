#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_NODE_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_NODE_H_

// Defines RaftNode, one replica of the control log.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "lacewingferry/decisions/consensus/membership_change.h"
#include "lacewingferry/decisions/consensus/raft_context.h"
#include "lacewingferry/decisions/consensus/raft_elector.h"
#include "lacewingferry/decisions/consensus/raft_follower.h"
#include "lacewingferry/decisions/consensus/raft_leader.h"

namespace lacewingferry {

/** What a replica is made of. */
struct RaftParts {
  VoterId self;
  RaftSettings settings;
  RaftHooks hooks;
  StoragePort storage;
  LogCodecPort codec;
  /** For election time-outs; should differ between replicas. */
  std::uint64_t seed = 0;
  /** Off outside tests. */
  RaftFaults faults = {};
};

/** The answer to a proposed change of the replicas. */
struct ChangeResult {
  /** The entry that holds the change; none when it was refused. */
  std::optional<std::uint64_t> index;
  ChangeRefusal refusal = ChangeRefusal::kNone;
};

/**
 * One replica of the control log: our own form of Raft with pre-votes, a
 * check of the quorum, a leader lease and changes of one voter at a time.
 *
 * It belongs to one thread. Each input takes the present and gives its
 * effects through the hooks before it returns; what a message promises is
 * synced before the message is sent. A StorageError stops the replica: it
 * calls hooks.failed and ignores all further input.
 */
class RaftNode {
 public:
  /** Reads the newest state from the disk and restores the state machine from
   * its snapshot; committed entries after it are applied again once a leader
   * is known. Throws StorageError, or UserError for settings that contradict
   * each other. */
  RaftNode(RaftParts parts, std::chrono::steady_clock::time_point now);

  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /** When OnTick has something to do; never, for a stopped replica. */
  std::chrono::steady_clock::time_point NextWakeup() const;

  /** Does what is due. May be called early. */
  void OnTick(std::chrono::steady_clock::time_point now);

  void OnMessage(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const ConsensusMessage& message);

  /** Appends a command on the leader and returns its index. It is in force
   * once hooks.apply gets it with the same term; after a change of leader
   * another entry may stand there. None on another replica, or when too many
   * entries wait for a quorum. */
  std::optional<std::uint64_t> Propose(
      std::chrono::steady_clock::time_point now, std::string payload);

  /** Proposes a change of one replica, or says why it can't be made. */
  ChangeResult ProposeChange(std::chrono::steady_clock::time_point now,
                             const MembershipChange& change);

  /** Whether this replica's applied state is current. */
  bool CanServeReads(std::chrono::steady_clock::time_point now) const;

  bool IsLeader() const { return this->leader.has_value(); }
  bool Stopped() const { return this->stopped; }
  std::uint64_t Term() const { return this->context.log.Term(); }
  std::uint64_t CommitIndex() const { return this->context.commit_index; }
  const VoterId& Self() const { return this->context.self; }
  Leadership CurrentLeadership() const;

  /** The replicas as the leader sees them; no members on another replica. */
  GroupStatus Status(std::chrono::steady_clock::time_point now) const;

  const ControlConfiguration& Configuration() const {
    return this->context.log.Configuration();
  }

 private:
  void Run(std::chrono::steady_clock::time_point now,
           const std::function<void()>& action);
  void Dispatch(std::chrono::steady_clock::time_point now, const NodeId& from,
                const ConsensusMessage& message);
  bool MeantForMe(const ConsensusMessage& message) const;
  void OnVoteRequest(std::chrono::steady_clock::time_point now,
                     const NodeId& from, const VoteRequest& request);
  void OnJoinRequest(const NodeId& from, const VoterId& voter);
  /** Takes or gives up office as the context's role says, and reports it. */
  void FollowRole(std::chrono::steady_clock::time_point now);
  void ReportLeadership();
  void Stop(const std::string& reason);

  RaftContext context;
  RaftElector elector;
  RaftFollower follower;
  std::optional<RaftLeader> leader;
  Leadership reported;
  bool stopped = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_NODE_H_
