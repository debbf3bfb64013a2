#include "lacewingferry/decisions/roster/silent_peer_detector.h"

namespace lacewingferry {

using std::chrono::steady_clock;

void SilentPeerDetector::OnSent(steady_clock::time_point now,
                                const NodeId& node) {
  this->unanswered_since.emplace(node, now);
}

void SilentPeerDetector::OnReceived(const NodeId& node) {
  this->unanswered_since.erase(node);
}

std::vector<NodeId> SilentPeerDetector::TakeSilentPeers(
    steady_clock::time_point now) {
  std::vector<NodeId> silent;
  for (auto& [node, since] : this->unanswered_since) {
    if (now - since < this->timeout) continue;
    since = now;
    silent.push_back(node);
  }
  return silent;
}

}  // namespace lacewingferry
