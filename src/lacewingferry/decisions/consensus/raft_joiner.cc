#include "lacewingferry/decisions/consensus/raft_joiner.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/consensus/membership_change.h"

namespace lacewingferry {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/** More than a group has replicas, while some of them are being replaced. */
constexpr std::size_t kMaxLearnedNodes = 2 * kMaxVoters;

/** Adds a node that isn't listed; returns whether it did. */
bool AddOnce(std::vector<NodeId>& nodes, const NodeId& node) {
  if (std::find(nodes.begin(), nodes.end(), node) != nodes.end()) return false;
  nodes.push_back(node);
  return true;
}

}  // namespace

void RaftJoiner::RequestJoin(steady_clock::time_point now) {
  if (now < this->next_request) return;
  this->next_request = now + this->context.settings.join_retry;
  const JoinRequest request{this->context.self};
  std::vector<NodeId> asked = this->NodesToAsk();
  for (const NodeId& node : asked) this->context.hooks.send(node, request);
  this->ReportWait(now, std::move(asked));
}

std::vector<NodeId> RaftJoiner::NodesToAsk() const {
  std::vector<NodeId> nodes;
  for (const NodeId& seed : this->context.settings.seeds) AddOnce(nodes, seed);
  for (const ControlMember& member :
       this->context.log.Configuration().members) {
    if (member.voter != this->context.self) AddOnce(nodes, member.node);
  }
  for (const NodeId& node : this->learned_nodes) AddOnce(nodes, node);
  return nodes;
}

void RaftJoiner::OnNodesLearned(const std::vector<NodeId>& nodes) {
  if (!this->context.leader.Empty()) return;
  std::vector<NodeId> known = this->NodesToAsk();
  for (const NodeId& node : nodes) {
    if (this->learned_nodes.size() >= kMaxLearnedNodes) return;
    if (!AddOnce(known, node)) continue;
    this->learned_nodes.push_back(node);
    this->context.hooks.send(node, JoinRequest{this->context.self});
  }
}

void RaftJoiner::ReportWait(steady_clock::time_point now,
                            std::vector<NodeId> asked) {
  const auto waiting = now - this->context.last_leader_contact;
  if (waiting < kReportInterval || now < this->next_report) return;
  const ControlConfiguration& log = this->context.log.Configuration();
  if (log.IsVoter(this->context.self)) return;
  if (!this->context.hooks.join_waiting) return;
  this->next_report = now + kReportInterval;
  this->context.hooks.join_waiting(
      {this->context.self, std::move(asked),
       std::chrono::duration_cast<milliseconds>(waiting)});
}

}  // namespace lacewingferry
