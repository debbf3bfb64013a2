#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_ELECTOR_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_ELECTOR_H_

// Defines RaftElector, which requests and grants votes.

#include <chrono>
#include <set>
#include <vector>

#include "lacewingferry/decisions/consensus/raft_context.h"

namespace lacewingferry {

/**
 * Runs a replica's elections, and finds the leader for one that isn't a voter.
 * Such a replica asks its seeds and all nodes that it knows to join. Only the
 * leader takes it in; the others answer with nodes to ask, so that one of them
 * being a replica is enough. A voter without a leader first starts a pre-vote
 * to find out whether a majority would vote for it, and raises its term only
 * then. A voter that received a leader's message within election_timeout_min
 * ignores both pre-vote and vote requests, so a returning voter can't disrupt
 * the leader and no vote is granted during the leader's lease.
 *
 * All calls may throw StorageError.
 */
class RaftElector {
 public:
  RaftElector(RaftContext& shared, std::chrono::steady_clock::time_point now);

  /** When OnTick is next due. */
  std::chrono::steady_clock::time_point Deadline() const {
    return this->deadline;
  }

  /** Sets a new random deadline, after a leader's message or a granted vote. */
  void ResetDeadline(std::chrono::steady_clock::time_point now);

  /** After the deadline, requests votes or, if not a voter, to join. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** Takes nodes that may know the leader, and asks those that weren't known to
   * join. Does nothing while a leader is known. */
  void OnNodesLearned(const std::vector<NodeId>& nodes);

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
  void RequestJoin(std::chrono::steady_clock::time_point now);
  /** Asks to join at each join_retry: the group may have removed this voter,
   * and none of the voters that its log names may be left. */
  void AskToRejoin(std::chrono::steady_clock::time_point now);
  void SendJoinRequests(const std::vector<NodeId>& nodes) const;
  /** The nodes that may know the leader, each once: the seeds, the replicas of
   * the log, and the learned nodes. */
  std::vector<NodeId> NodesToAsk() const;
  void ReportJoinWait(std::chrono::steady_clock::time_point now,
                      std::vector<NodeId> asked);
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
  /** What others named as the leader's node since a leader was last heard. */
  std::vector<NodeId> learned_nodes;
  /** When a voter without a leader next asks to join. */
  std::chrono::steady_clock::time_point next_rejoin;
  /** No failed election and no waiting join is reported before. */
  std::chrono::steady_clock::time_point next_report;
  /** Whether it has yielded to another candidate since the last
   * ResetDeadline. */
  bool yielded = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_ELECTOR_H_
