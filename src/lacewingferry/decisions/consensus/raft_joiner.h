#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_JOINER_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_JOINER_H_

// Defines RaftJoiner, which finds the leader for a replica that has to join.

#include <chrono>
#include <vector>

#include "lacewingferry/decisions/consensus/raft_context.h"

namespace lacewingferry {

/**
 * Asks to join the group, at most once per join_retry: the seeds, the replicas
 * of the log, and the nodes that others named. Only the leader takes a replica
 * in. All others answer with the leader's node, or with those that they know,
 * so that one reachable replica among the nodes asked is enough.
 */
class RaftJoiner {
 public:
  explicit RaftJoiner(RaftContext& shared) : context(shared) {}

  /** Sends the requests when they are due, and reports a wait of a replica
   * without a vote. */
  void RequestJoin(std::chrono::steady_clock::time_point now);

  /** Asks the nodes that aren't known yet at once. Does nothing while a leader
   * is known. */
  void OnNodesLearned(const std::vector<NodeId>& nodes);

  /** A leader was heard: what others named is no longer needed. */
  void ForgetLearnedNodes() { this->learned_nodes.clear(); }

 private:
  /** The nodes that may know the leader, each once. */
  std::vector<NodeId> NodesToAsk() const;
  void ReportWait(std::chrono::steady_clock::time_point now,
                  std::vector<NodeId> asked);

  RaftContext& context;
  std::vector<NodeId> learned_nodes;
  std::chrono::steady_clock::time_point next_request;
  std::chrono::steady_clock::time_point next_report;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_JOINER_H_
