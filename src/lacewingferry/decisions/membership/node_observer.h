#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_NODE_OBSERVER_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_NODE_OBSERVER_H_

// Defines NodeObserver, which notices the death of a few peers.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/membership/zone_topology.h"

namespace lacewingferry {

/** What a NodeObserver asks for. */
struct NodeObserverHooks {
  std::function<void(const NodeId& to, const PeerBody& body)> send;
  /** A peer answered neither heartbeats nor probes. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const NodeId& peer)>
      lost;
};

/** Sends this process's heartbeats to its observers, and watches the peers
 * that it observes itself. A silent peer is probed before it counts as lost,
 * so that a few lost heartbeats don't make it so. */
class NodeObserver {
 public:
  NodeObserver(NodeId self, std::uint64_t incarnation, NodeObserverHooks hooks);

  /** Takes changed duties; a peer that is new to them starts as just heard. */
  void Rebuild(std::chrono::steady_clock::time_point now,
               const ZoneTopology& topology);

  /** Takes a heartbeat. One of an earlier run than that known says nothing. */
  void OnHeartbeat(std::chrono::steady_clock::time_point now,
                   const NodeId& from, const NodeHeartbeat& heartbeat);

  /** Sends what is due and looks for silence. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** This process counts as a later run from now on. */
  void SetIncarnation(std::uint64_t later) { this->incarnation = later; }

  /** Forgives all peers a silence in which this process itself stood still. */
  void Forgive(std::chrono::steady_clock::duration pause);

 private:
  struct Subject {
    std::uint64_t incarnation = 0;
    std::chrono::steady_clock::time_point heard;
    std::chrono::steady_clock::time_point probed;
  };

  NodeId self;
  std::uint64_t incarnation;
  NodeObserverHooks hooks;
  std::vector<NodeId> observers;
  std::map<NodeId, Subject> subjects;
  std::chrono::steady_clock::time_point next_heartbeat;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_NODE_OBSERVER_H_
