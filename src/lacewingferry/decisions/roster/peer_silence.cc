#include "lacewingferry/decisions/roster/peer_silence.h"

namespace lacewingferry {

using std::chrono::steady_clock;

void PeerSilence::OnSent(steady_clock::time_point now, const NodeId& node) {
  this->unanswered_since.emplace(node, now);
}

void PeerSilence::OnHeard(const NodeId& node) {
  this->unanswered_since.erase(node);
}

std::vector<NodeId> PeerSilence::TakeSilent(steady_clock::time_point now) {
  std::vector<NodeId> silent;
  for (auto& [node, since] : this->unanswered_since) {
    if (now - since < this->limit) continue;
    since = now;
    silent.push_back(node);
  }
  return silent;
}

}  // namespace lacewingferry
