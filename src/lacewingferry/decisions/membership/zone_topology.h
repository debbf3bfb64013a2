#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_ZONE_TOPOLOGY_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_ZONE_TOPOLOGY_H_

// Defines ZoneTopology, which assigns relays, observers and monitors in each
// zone.

#include <map>
#include <vector>

#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/**
 * Assigns the live processes as relays, which forward records within and
 * between zones, as observers, which detect the loss of processes, and as
 * monitors, which detect the loss of members. Every process computes the
 * assignments itself; processes with the same records come to the same result.
 */
class ZoneTopology {
 public:
  /** Computes the assignments for the live processes. */
  void Rebuild(const std::vector<NodeState>& nodes);

  /** The state of a process; null if it is not live. */
  const NodeState* Find(const NodeId& id) const;

  /** The zones with at least one live process. */
  std::vector<AvailabilityZone> Zones() const;

  /** The live processes of a zone. */
  const std::vector<NodeId>& NodesOf(const AvailabilityZone& zone) const;

  /** The processes through which a zone exchanges records with the others:
   * proxies, or control processes where there is no proxy. */
  const std::vector<NodeId>& RelaysOf(const AvailabilityZone& zone) const;

  /** Whether a process is one of its zone's relays. */
  bool IsRelay(const NodeId& id) const;

  /** The processes that detect the loss of a process, all of the same zone. */
  std::vector<NodeId> ObserversOf(const NodeId& id) const;

  /** The proxy that decides whether a member is lost: one of the member's zone,
   * or of any zone if that zone has no proxy. Empty if there is no proxy. */
  NodeId MonitorOf(const MemberInfo& member) const;

  /** Whether a process is the monitor of a member. Cheaper than MonitorOf for
   * members of other zones. */
  bool IsMonitor(const NodeId& id, const MemberInfo& member) const;

 private:
  struct Zone {
    /** All processes, sorted by rendezvous weight. Each process is observed by
     * its successors. */
    std::vector<NodeId> ring;
    std::vector<NodeId> proxies;
    std::vector<NodeId> relays;
    std::vector<NodeId> monitors;
  };

  const std::vector<NodeId>& MonitorCandidates(const MemberInfo& member) const;
  const Zone& ZoneOf(const AvailabilityZone& zone) const;

  std::map<NodeId, NodeState> nodes;
  std::map<AvailabilityZone, Zone> zones;
  std::vector<NodeId> all_proxies;
  Zone empty_zone;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_ZONE_TOPOLOGY_H_
