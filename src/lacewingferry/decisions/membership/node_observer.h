#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_NODE_OBSERVER_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_NODE_OBSERVER_H_

// Defines NodeObserver, which detects the loss of the peers assigned to this
// process.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/membership/zone_topology.h"

namespace lacewingferry {

/** The callbacks of a NodeObserver. */
struct NodeObserverHooks {
  std::function<void(const NodeId& to, const PeerBody& body)> send;
  /** A peer sent no heartbeat, not even in answer to probes. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const NodeId& peer)>
      lost;
};

/** Sends heartbeats of this process to its observers, and checks the heartbeats
 * of the peers that it observes. A peer with missing heartbeats is probed
 * before it is declared lost, so that a few lost messages do not suffice for
 * that. */
class NodeObserver {
 public:
  NodeObserver(NodeId self, std::uint64_t incarnation, NodeObserverHooks hooks);

  /** Applies changed assignments. A newly observed peer, or a new incarnation
   * of one, counts as heard now. */
  void Rebuild(std::chrono::steady_clock::time_point now,
               const ZoneTopology& topology);

  /** Handles a heartbeat. Ignores one of an older incarnation than the known
   * one. */
  void OnHeartbeat(std::chrono::steady_clock::time_point now,
                   const NodeId& from, const NodeHeartbeat& heartbeat);

  /** Sends due heartbeats and probes, and declares silent peers lost. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** Sets the incarnation that further heartbeats carry. */
  void SetIncarnation(std::uint64_t new_incarnation) {
    this->incarnation = new_incarnation;
  }

  /** Excludes a pause of this process from the time since each peer was last
   * heard, so that the pause does not make peers appear lost. */
  void ExcludePause(std::chrono::steady_clock::duration pause);

 private:
  struct ObservedPeer {
    std::uint64_t incarnation = 0;
    std::chrono::steady_clock::time_point last_heard;
    std::chrono::steady_clock::time_point last_probe;
  };

  NodeId self;
  std::uint64_t incarnation;
  NodeObserverHooks hooks;
  std::vector<NodeId> observers;
  std::map<NodeId, ObservedPeer> observed_peers;
  std::chrono::steady_clock::time_point next_heartbeat;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_NODE_OBSERVER_H_
