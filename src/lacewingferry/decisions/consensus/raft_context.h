#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_CONTEXT_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_CONTEXT_H_

// Defines RaftContext, the state shared by the components of a control log
// replica.

#include <chrono>
#include <cstdint>
#include <random>

#include "lacewingferry/decisions/consensus/control_log.h"
#include "lacewingferry/decisions/consensus/raft_faults.h"
#include "lacewingferry/decisions/consensus/raft_hooks.h"
#include "lacewingferry/decisions/consensus/raft_settings.h"

namespace lacewingferry {

/** Shortest interval between two reports of a replica that finds no leader. */
constexpr std::chrono::milliseconds kReportInterval{1000};

/** The role of a replica in its term. */
enum class RaftRole : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
};

/** The state shared by RaftElector, RaftJoiner, RaftFollower and RaftLeader. */
struct RaftContext {
  VoterId self{};
  RaftSettings settings;
  RaftHooks hooks;
  RaftFaults faults;
  ControlLog log;
  std::mt19937_64 random;
  RaftRole role = RaftRole::kFollower;
  /** The leader of the log's current term; empty while it is not known. */
  VoterId leader{};
  NodeId leader_node{};
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  /** Size of the entries applied since the log's snapshot. */
  std::size_t applied_bytes = 0;
  /** When the last message from a leader arrived. Initially the start time,
   * since the replica may have replied to a leader just before a restart and
   * must honour that leader's lease. */
  std::chrono::steady_clock::time_point last_leader_contact{};

  /** Becomes a follower without a known leader, in the same term. */
  void BecomeFollower();

  /** Stores a newer term without a vote and becomes a follower in it. */
  void AdoptTerm(std::uint64_t term);

  /** Raises the commit index and applies the newly committed entries; stores
   * a snapshot when one is due by the number or the size of the entries
   * applied since the last one. */
  void CommitUpTo(std::uint64_t index);

  /** Whether the entries applied since the last snapshot reach one of the
   * limits of the settings. */
  bool SnapshotDue() const;
  /** Stores a snapshot of the applied state, and reports it. */
  void StoreSnapshot();

  /** Reports the log's snapshot, just stored, to the hooks. */
  void ReportSnapshot(bool received) const;

  /** Restores the state machine from the log's snapshot. */
  void RestoreSnapshot();
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_CONTEXT_H_
