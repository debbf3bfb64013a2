#include "lacewingferry/decisions/failover/control_leader_finder.h"

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

ControlLeaderFinder::ControlLeaderFinder(std::vector<NodeId> control_replicas)
    : replicas(std::move(control_replicas)) {
  if (this->replicas.empty()) {
    throw InternalError("no control replicas configured");
  }
  this->target = this->replicas.front();
}

void ControlLeaderFinder::OnLeaderAnswer(const NodeId& from) {
  this->target = from;
}

bool ControlLeaderFinder::OnRedirect(const NodeId& /*from*/,
                                     const ControlRedirect& redirect) {
  if (redirect.leader.Empty() || redirect.control_term < this->control_term) {
    return false;
  }
  this->control_term = redirect.control_term;
  if (this->target == redirect.leader) return false;
  this->target = redirect.leader;
  return true;
}

void ControlLeaderFinder::OnTimeout() {
  this->next_replica = (this->next_replica + 1) % this->replicas.size();
  if (this->replicas[this->next_replica] == this->target) {
    this->next_replica = (this->next_replica + 1) % this->replicas.size();
  }
  this->target = this->replicas[this->next_replica];
}

}  // namespace lacewingferry
