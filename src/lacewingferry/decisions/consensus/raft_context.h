#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_CONTEXT_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_CONTEXT_H_

// Defines RaftContext, what the parts of a replica of the control log share.

#include <chrono>
#include <cstdint>
#include <random>

#include "lacewingferry/decisions/consensus/control_log.h"
#include "lacewingferry/decisions/consensus/raft_faults.h"
#include "lacewingferry/decisions/consensus/raft_hooks.h"
#include "lacewingferry/decisions/consensus/raft_settings.h"

namespace lacewingferry {

/** What a replica does in its term. */
enum class RaftRole : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
};

/** The state that elections, following and leading share. */
struct RaftContext {
  VoterId self{};
  RaftSettings settings;
  RaftHooks hooks;
  RaftFaults faults;
  ControlLog log;
  std::mt19937_64 random;
  RaftRole role = RaftRole::kFollower;
  /** The leader of the log's term; empty while it isn't known. */
  VoterId leader{};
  NodeId leader_node{};
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  /** When the newest message of a leader came. A start counts as one, since
   * the replica may have answered a leader just before it. */
  std::chrono::steady_clock::time_point last_leader_contact{};

  /** Becomes a follower without a known leader; the term stays. */
  void BecomeFollower();

  /** Stores a newer term without a vote and becomes a follower in it. */
  void AdoptTerm(std::uint64_t term);

  /** Raises the commit index and applies what it covers; stores a snapshot
   * when enough entries came since the last one. */
  void CommitUpTo(std::uint64_t index);

  /** Sets the state back to the log's snapshot. */
  void RestoreSnapshot();
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_CONTEXT_H_
