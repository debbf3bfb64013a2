#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_HOOKS_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_HOOKS_H_

// Defines RaftHooks, through which a control log replica acts on its
// environment.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lacewingferry/core/messages/consensus_messages.h"

namespace lacewingferry {

/** The leader as known to a replica. */
struct Leadership {
  std::uint64_t term = 0;
  /** Empty while no leader is known. */
  VoterId leader;
  NodeId node;
  /** Whether this replica is the leader. It may serve reads only while
   * CanServeReads returns true. */
  bool self = false;
};

/** An election in which no majority voted for the candidate in time. */
struct ElectionFailure {
  /** The candidate's term; a pre-vote doesn't raise it. */
  std::uint64_t term = 0;
  /** The votes granted, with its own. */
  std::size_t votes = 0;
  /** The votes that were needed. */
  std::size_t quorum = 0;
};

/** The copy of the log to a learner, from its addition until it may become a
 * voter. */
struct LearnerCopy {
  VoterId learner;
  NodeId node;
  std::chrono::milliseconds duration{0};
  /** Bytes of the entries and snapshots sent to it. */
  std::uint64_t bytes = 0;
};

/** A replica without a vote that asks to join and hears of no leader. */
struct JoinWait {
  VoterId replica;
  /** Whom it asks. */
  std::vector<NodeId> asked;
  /** Since its start or since it last heard a leader. */
  std::chrono::milliseconds duration{0};
};

/** A snapshot that a replica has stored. */
struct StoredSnapshot {
  std::uint64_t index = 0;
  std::size_t state_bytes = 0;
  /** Whether the leader sent it; otherwise it is of the replica's own state. */
  bool received = false;
};

/** Called by a replica on its own thread. A hook must not call the replica
 * directly, but may post a call to run later. */
struct RaftHooks {
  /** Sends a message, which may be lost, delayed, duplicated or reordered. */
  std::function<void(const NodeId&, const ConsensusMessage&)> send;
  /** Applies committed entries of every kind, in order. Between a restore
   * and the end of the process, each entry is applied once. */
  std::function<void(const ControlEntry&)> apply;
  /** The state after the last applied entry. */
  std::function<std::string()> take_snapshot;
  /** Replaces the state by one returned by take_snapshot; an empty string
   * stands for the state before the first entry. */
  std::function<void(const std::string&)> restore_snapshot;
  std::function<void(const Leadership&)> leadership_changed;
  /** Optional. Called once a second at most while elections fail. */
  std::function<void(const ElectionFailure&)> election_failed;
  /** Optional. Called once a second at most while the replica waits. */
  std::function<void(const JoinWait&)> join_waiting;
  /** Optional. On the leader: a replica that isn't known asks to join, with the
   * node that holds it. Called once for requests that follow each other. */
  std::function<void(const VoterId&, const NodeId&)> join_requested;
  /** Optional. On the leader: a learner may become a voter. Called once for
   * each learner and leader. */
  std::function<void(const LearnerCopy&)> learner_caught_up;
  /** Optional. */
  std::function<void(const StoredSnapshot&)> snapshot_stored;
  /** The disk failed and the replica has stopped. */
  std::function<void(const std::string& reason)> failed;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_HOOKS_H_
