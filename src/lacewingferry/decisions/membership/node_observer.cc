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
  std::map<NodeId, Subject> kept;
  const NodeState* own = topology.Find(this->self);
  this->observers = topology.ObserversOf(this->self);
  if (own == nullptr) return;
  for (const NodeId& peer : topology.NodesOf(own->info.zone)) {
    const std::vector<NodeId> by = topology.ObserversOf(peer);
    if (std::find(by.begin(), by.end(), this->self) == by.end()) continue;
    const std::uint64_t run = topology.Find(peer)->incarnation;
    const auto found = this->subjects.find(peer);
    const bool known =
        found != this->subjects.end() && found->second.incarnation == run;
    kept[peer] = known ? found->second : Subject{run, now, now};
  }
  this->subjects = std::move(kept);
}

void NodeObserver::OnHeartbeat(std::chrono::steady_clock::time_point now,
                               const NodeId& from,
                               const NodeHeartbeat& heartbeat) {
  const auto found = this->subjects.find(from);
  if (found == this->subjects.end()) return;
  if (heartbeat.incarnation < found->second.incarnation) return;
  found->second.heard = now;
}

void NodeObserver::OnTick(std::chrono::steady_clock::time_point now) {
  if (now >= this->next_heartbeat) {
    this->next_heartbeat = now + kHeartbeatInterval;
    for (const NodeId& observer : this->observers) {
      this->hooks.send(observer, NodeHeartbeat{this->incarnation});
    }
  }
  std::vector<NodeId> lost;
  for (auto& entry : this->subjects) {
    Subject& subject = entry.second;
    const auto silence = now - subject.heard;
    if (silence >= kLostAfter) {
      lost.push_back(entry.first);
    } else if (silence >= kProbeAfter &&
               now - subject.probed >= kProbeInterval) {
      subject.probed = now;
      this->hooks.send(entry.first, NodeProbe{subject.incarnation});
    }
  }
  for (const NodeId& peer : lost) {
    this->subjects.erase(peer);
    this->hooks.lost(now, peer);
  }
}

void NodeObserver::Forgive(std::chrono::steady_clock::duration pause) {
  for (auto& entry : this->subjects) entry.second.heard += pause;
}

}  // namespace lacewingferry
