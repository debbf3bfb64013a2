#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_ZONE_TOPOLOGY_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_ZONE_TOPOLOGY_H_

// Defines ZoneTopology, who relays, observes and monitors in each zone.

#include <map>
#include <vector>

#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** The duties of the live processes, which each process derives by itself
 * from the same records. */
class ZoneTopology {
 public:
  /** Derives the duties from the processes that are not gone. */
  void Rebuild(const std::vector<NodeState>& nodes);

  /** The process of an identifier; null if it is not live. */
  const NodeState* Find(const NodeId& id) const;

  /** The zones with a live process. */
  std::vector<AvailabilityZone> Zones() const;

  /** The processes of a zone. */
  const std::vector<NodeId>& NodesOf(const AvailabilityZone& zone) const;

  /** The processes through which a zone exchanges records with the others:
   * proxies, or control processes where there is no proxy. */
  const std::vector<NodeId>& RelaysOf(const AvailabilityZone& zone) const;

  /** Whether a process is one of its zone's relays. */
  bool IsRelay(const NodeId& id) const;

  /** The processes of its zone that notice a process's death. */
  std::vector<NodeId> ObserversOf(const NodeId& id) const;

  /** The process that decides whether a member is gone: one of the member's
   * zone, or of all zones if its own has none. Empty while there is none. */
  NodeId MonitorOf(const MemberInfo& member) const;

  /** Whether a process is the monitor of a member; quicker than to ask which
   * is, for the members of other zones. */
  bool IsMonitor(const NodeId& id, const MemberInfo& member) const;

 private:
  struct Zone {
    /** All processes in the order of their rendezvous weights. */
    std::vector<NodeId> ring;
    std::vector<NodeId> proxies;
    std::vector<NodeId> relays;
    std::vector<NodeId> monitors;
  };

  const std::vector<NodeId>& MonitorsFor(const MemberInfo& member) const;
  const Zone& ZoneOf(const AvailabilityZone& zone) const;

  std::map<NodeId, NodeState> nodes;
  std::map<AvailabilityZone, Zone> zones;
  std::vector<NodeId> all_proxies;
  Zone none;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_ZONE_TOPOLOGY_H_
