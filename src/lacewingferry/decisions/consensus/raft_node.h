#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_NODE_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_NODE_H_

// Defines RaftNode, one replica of the control log.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/decisions/consensus/membership_change.h"
#include "lacewingferry/decisions/consensus/raft_context.h"
#include "lacewingferry/decisions/consensus/raft_elector.h"
#include "lacewingferry/decisions/consensus/raft_follower.h"
#include "lacewingferry/decisions/consensus/raft_joiner.h"
#include "lacewingferry/decisions/consensus/raft_leader.h"
#include "lacewingferry/decisions/consensus/voter_repair.h"

namespace lacewingferry {

/** The settings and ports that a replica is built from. */
struct RaftParts {
  VoterId self;
  RaftSettings settings;
  /** How the leader replaces lost voters; none where only ProposeChange changes
   * the replicas. */
  std::optional<RepairSettings> repair;
  RaftHooks hooks;
  StoragePort storage;
  LogCodecPort codec;
  /** Seeds the random election timeouts; should differ between replicas. */
  std::uint64_t seed = 0;
  /** Off outside tests. */
  RaftFaults faults = {};
};

/** The result of a proposed membership change. */
struct ChangeResult {
  /** Index of the entry that contains the change; none if it was refused. */
  std::optional<std::uint64_t> index;
  ChangeRefusal refusal = ChangeRefusal::kNone;
};

/**
 * One replica of the control log. Implements Raft with pre-votes, a leader that
 * steps down without a quorum, a leader lease and membership changes of one
 * voter at a time.
 *
 * It is used on one thread. Each call takes the current time and calls the
 * hooks before it returns. State that a message acknowledges is synced to disk
 * before the message is sent. A StorageError stops the replica: it calls
 * hooks.failed and ignores all further input.
 */
class RaftNode {
 public:
  /** Loads the log from disk and restores the state machine from its
   * snapshot. Committed entries after the snapshot are applied again once a
   * leader is known. Throws StorageError, or UserError for inconsistent
   * settings. */
  RaftNode(RaftParts parts, std::chrono::steady_clock::time_point now);

  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /** When OnTick is next due; time_point::max() for a stopped replica. */
  std::chrono::steady_clock::time_point NextWakeup() const;

  /** Runs due heartbeats and elections. May be called early. */
  void OnTick(std::chrono::steady_clock::time_point now);

  void OnMessage(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const ConsensusMessage& message);

  /** Replaces the seeds of the settings, for the next request to join. */
  void SetSeeds(std::vector<NodeId> seeds);

  /** Appends a command on the leader and returns its index. The command is
   * committed once hooks.apply is called with that index and the same term;
   * after a change of leader another entry may have that index. None if this
   * replica is not the leader or too many entries are uncommitted. */
  std::optional<std::uint64_t> Propose(
      std::chrono::steady_clock::time_point now, std::string payload);

  /** Proposes a membership change, or returns why it is refused. */
  ChangeResult ProposeChange(std::chrono::steady_clock::time_point now,
                             const MembershipChange& change);

  /** Whether this replica is the leader and its applied state is current. */
  bool CanServeReads(std::chrono::steady_clock::time_point now) const;

  bool IsLeader() const { return this->leader.has_value(); }
  bool Stopped() const { return this->stopped; }
  std::uint64_t Term() const { return this->context.log.Term(); }
  std::uint64_t LastIndex() const { return this->context.log.LastIndex(); }
  std::uint64_t CommitIndex() const { return this->context.commit_index; }
  const VoterId& Self() const { return this->context.self; }
  Leadership CurrentLeadership() const;

  /** The status of all replicas; without members if this replica is not the
   * leader. */
  GroupStatus Status(std::chrono::steady_clock::time_point now) const;

  const ControlConfiguration& Configuration() const {
    return this->context.log.Configuration();
  }

 private:
  void Run(std::chrono::steady_clock::time_point now,
           const std::function<void()>& action);
  void Dispatch(std::chrono::steady_clock::time_point now, const NodeId& from,
                const ConsensusMessage& message);
  bool IsAddressedToSelf(const ConsensusMessage& message) const;
  void OnLeaderHeard(std::chrono::steady_clock::time_point now);
  void OnVoteRequest(std::chrono::steady_clock::time_point now,
                     const NodeId& from, const VoteRequest& request);
  /** Takes in a replica that asks to join, or says where the leader may be. */
  void OnJoinRequest(std::chrono::steady_clock::time_point now,
                     const NodeId& from, const VoterId& voter);
  void RedirectJoin(const NodeId& to, const VoterId& voter);
  /** A leader's message to an identity that this node had before. */
  void OnStrayMessage(std::chrono::steady_clock::time_point now,
                      const NodeId& from, const ConsensusMessage& message);
  /** Creates or destroys the RaftLeader according to the context's role, and
   * reports a change of leadership. */
  void UpdateRole(std::chrono::steady_clock::time_point now);
  void ReportLeadership();
  /** Proposes the next change of the replicas, if any is due. */
  void Repair(std::chrono::steady_clock::time_point now);
  void Stop(const std::string& reason);

  std::optional<VoterRepair> repair;
  RaftContext context;
  RaftJoiner joiner;
  RaftElector elector;
  RaftFollower follower;
  std::optional<RaftLeader> leader;
  Leadership reported;
  bool stopped = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_NODE_H_
