#include "lacewingferry/decisions/membership/node_observer.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{400};
/** Two heartbeats are missing. */
constexpr milliseconds kProbeAfter{900};
constexpr milliseconds kProbeInterval{100};
constexpr milliseconds kLostAfter{1300};

}  // namespace

NodeObserver::NodeObserver(NodeId self_id, std::uint64_t self_incarnation,
                           NodeObserverHooks observer_hooks)
    : self(std::move(self_id)),
      incarnation(self_incarnation),
      hooks(std::move(observer_hooks)) {}

void NodeObserver::Rebuild(std::chrono::steady_clock::time_point now,
                           const ZoneTopology& topology) {
  std::map<NodeId, ObservedPeer> rebuilt;
  const NodeState* own = topology.Find(this->self);
  this->observers = topology.ObserversOf(this->self);
  if (own == nullptr) return;
  for (const NodeId& peer : topology.NodesOf(own->info.zone)) {
    const std::vector<NodeId> list = topology.ObserversOf(peer);
    if (std::find(list.begin(), list.end(), this->self) == list.end()) continue;
    const std::uint64_t peer_incarnation = topology.Find(peer)->incarnation;
    const auto found = this->observed_peers.find(peer);
    const bool known = found != this->observed_peers.end() &&
                       found->second.incarnation == peer_incarnation;
    rebuilt[peer] =
        known ? found->second : ObservedPeer{peer_incarnation, now, now};
  }
  this->observed_peers = std::move(rebuilt);
}

void NodeObserver::OnHeartbeat(std::chrono::steady_clock::time_point now,
                               const NodeId& from,
                               const NodeHeartbeat& heartbeat) {
  const auto found = this->observed_peers.find(from);
  if (found == this->observed_peers.end()) return;
  if (heartbeat.incarnation < found->second.incarnation) return;
  found->second.last_heard = now;
}

void NodeObserver::OnTick(std::chrono::steady_clock::time_point now) {
  if (now >= this->next_heartbeat) {
    this->next_heartbeat = now + kHeartbeatInterval;
    for (const NodeId& observer : this->observers) {
      this->hooks.send(observer, NodeHeartbeat{this->incarnation});
    }
  }
  std::vector<NodeId> lost;
  for (auto& entry : this->observed_peers) {
    ObservedPeer& observed = entry.second;
    const auto silence = now - observed.last_heard;
    if (silence >= kLostAfter) {
      lost.push_back(entry.first);
    } else if (silence >= kProbeAfter &&
               now - observed.last_probe >= kProbeInterval) {
      observed.last_probe = now;
      this->hooks.send(entry.first, NodeProbe{observed.incarnation});
    }
  }
  for (const NodeId& peer : lost) {
    this->observed_peers.erase(peer);
    this->hooks.lost(now, peer);
  }
}

void NodeObserver::ExcludePause(std::chrono::steady_clock::duration pause) {
  for (auto& entry : this->observed_peers) entry.second.last_heard += pause;
}

}  // namespace lacewingferry
