#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_ELECTOR_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_ELECTOR_H_

// Defines RaftElector, which requests and grants votes.

#include <chrono>
#include <set>

#include "lacewingferry/decisions/consensus/raft_context.h"
#include "lacewingferry/decisions/consensus/raft_joiner.h"

namespace lacewingferry {

/**
 * Runs a replica's elections. A voter without a leader first starts a pre-vote
 * to find out whether a majority would vote for it, and raises its term only
 * then. A voter that received a leader's message within election_timeout_min
 * ignores both pre-vote and vote requests, so a returning voter can't disrupt
 * the leader and no vote is granted during the leader's lease.
 *
 * A voter without a leader asks to join beside its pre-votes: the group may
 * have removed it, and none of the voters that its log names may be left.
 *
 * All calls may throw StorageError.
 */
class RaftElector {
 public:
  RaftElector(RaftContext& shared, RaftJoiner& shared_joiner,
              std::chrono::steady_clock::time_point now);

  /** When OnTick is next due. */
  std::chrono::steady_clock::time_point Deadline() const {
    return this->deadline;
  }

  /** Sets a new random deadline, after a leader's message or a granted vote. */
  void ResetDeadline(std::chrono::steady_clock::time_point now);

  /** After the deadline, requests votes or, if not a voter, to join. */
  void OnTick(std::chrono::steady_clock::time_point now);

  void OnVoteRequest(std::chrono::steady_clock::time_point now,
                     const NodeId& from, const VoteRequest& request);

  /** Counts a vote. Sets the context's role to kLeader if the election is
   * won. */
  void OnVoteReply(std::chrono::steady_clock::time_point now,
                   const VoteReply& reply);

 private:
  bool HasLiveLeader(std::chrono::steady_clock::time_point now) const;
  bool LogIsUpToDate(const VoteRequest& request) const;
  void StartPreVote(std::chrono::steady_clock::time_point now);
  void StartElection(std::chrono::steady_clock::time_point now);
  void RequestVotes(bool pre_vote);
  void CountVotes(std::chrono::steady_clock::time_point now);
  void ReportFailure(std::chrono::steady_clock::time_point now);
  void AnswerPreVote(std::chrono::steady_clock::time_point now,
                     const NodeId& from, const VoteRequest& request);
  void YieldTo(std::chrono::steady_clock::time_point now,
               const VoterId& candidate);
  void AnswerVote(std::chrono::steady_clock::time_point now, const NodeId& from,
                  const VoteRequest& request);
  void Reply(const NodeId& to, const VoteRequest& request, bool granted);
  std::chrono::milliseconds RandomUpTo(std::chrono::milliseconds limit);

  RaftContext& context;
  RaftJoiner& joiner;
  std::chrono::steady_clock::time_point deadline;
  std::set<VoterId> votes;
  /** No failed election is reported before. */
  std::chrono::steady_clock::time_point next_report;
  /** Whether it has yielded to another candidate since the last
   * ResetDeadline. */
  bool yielded = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_ELECTOR_H_
