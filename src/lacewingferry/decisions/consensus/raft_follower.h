#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_FOLLOWER_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_FOLLOWER_H_

// Defines RaftFollower, which stores entries and snapshots from the leader.

#include <chrono>

#include "lacewingferry/decisions/consensus/raft_context.h"

namespace lacewingferry {

/** Handles a leader's requests. A reply is sent after the received data is
 * synced to disk. The handlers return whether the request was accepted as one
 * of the leader of the replica's term. All calls may throw StorageError. */
class RaftFollower {
 public:
  explicit RaftFollower(RaftContext& shared) : context(shared) {}

  bool OnAppendRequest(std::chrono::steady_clock::time_point now,
                       const NodeId& from, const AppendRequest& request);

  bool OnSnapshotRequest(std::chrono::steady_clock::time_point now,
                         const NodeId& from, const SnapshotRequest& request);

 private:
  bool AcceptLeader(std::chrono::steady_clock::time_point now,
                    const NodeId& from, const VoterId& sender,
                    std::uint64_t term);
  bool Matches(const AppendRequest& request) const;
  std::uint64_t LastPossibleMatch(std::uint64_t previous_index) const;
  void Store(const AppendRequest& request);

  RaftContext& context;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_FOLLOWER_H_
