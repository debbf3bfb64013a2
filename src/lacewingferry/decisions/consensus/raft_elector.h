#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_ELECTOR_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_ELECTOR_H_

// Defines RaftElector, which asks for votes and gives them.

#include <chrono>
#include <set>

#include "lacewingferry/decisions/consensus/raft_context.h"

namespace lacewingferry {

/**
 * A replica's part in elections. A voter that hears no leader first asks in a
 * pre-vote whether a majority would vote for it; only then does it raise its
 * term. A voter that heard a live leader within election_timeout_min answers
 * neither, so that a returning voter can't disturb the leader and no vote is
 * given within the leader's lease.
 *
 * All calls may throw StorageError.
 */
class RaftElector {
 public:
  RaftElector(RaftContext& shared, std::chrono::steady_clock::time_point now);

  /** When OnTick has something to do. */
  std::chrono::steady_clock::time_point Deadline() const {
    return this->deadline;
  }

  /** Draws a new deadline after a leader's message or a given vote. */
  void Restart(std::chrono::steady_clock::time_point now);

  /** Asks for votes or to join when the deadline has passed. */
  void OnTick(std::chrono::steady_clock::time_point now);

  void OnVoteRequest(std::chrono::steady_clock::time_point now,
                     const NodeId& from, const VoteRequest& request);

  /** Counts a vote. The context's role says whether the election is won. */
  void OnVoteReply(std::chrono::steady_clock::time_point now,
                   const VoteReply& reply);

 private:
  bool HearsLeader(std::chrono::steady_clock::time_point now) const;
  bool LogIsUpToDate(const VoteRequest& request) const;
  void StartPreVote(std::chrono::steady_clock::time_point now);
  void StartElection(std::chrono::steady_clock::time_point now);
  void RequestVotes(bool pre_vote);
  void CountVotes(std::chrono::steady_clock::time_point now);
  void AskToJoin(std::chrono::steady_clock::time_point now);
  void AnswerPreVote(std::chrono::steady_clock::time_point now,
                     const NodeId& from, const VoteRequest& request);
  void YieldTo(std::chrono::steady_clock::time_point now,
               const VoterId& candidate);
  void AnswerVote(std::chrono::steady_clock::time_point now, const NodeId& from,
                  const VoteRequest& request);
  void Reply(const NodeId& to, const VoteRequest& request, bool granted);
  std::chrono::milliseconds RandomUpTo(std::chrono::milliseconds limit);

  RaftContext& context;
  std::chrono::steady_clock::time_point deadline;
  std::set<VoterId> votes;
  /** Whether it has yielded to another candidate since the last Restart. */
  bool yielded = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_ELECTOR_H_
