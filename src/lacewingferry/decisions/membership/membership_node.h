#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_NODE_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_NODE_H_

// Defines MembershipNode, what a process knows of backend servers and of its
// peers, and its part in spreading it.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/membership/delta_outbox.h"
#include "lacewingferry/decisions/membership/member_monitor.h"
#include "lacewingferry/decisions/membership/membership_faults.h"
#include "lacewingferry/decisions/membership/membership_table.h"
#include "lacewingferry/decisions/membership/node_observer.h"
#include "lacewingferry/decisions/membership/record_comparison.h"
#include "lacewingferry/decisions/membership/routing_view_builder.h"
#include "lacewingferry/decisions/membership/zone_topology.h"

namespace lacewingferry {

/** What a MembershipNode asks for. */
struct MembershipHooks {
  /** Sends to another process; may lose, delay or double the message. */
  std::function<void(const std::string& peer_url, const PeerBody& body)> send;
  /** A record is new, changed or gone. */
  std::function<void(const MembershipRecord& record)> changed;
};

/** How a MembershipNode starts. */
struct MembershipSettings {
  ProxyInfo self;
  NodeRole role = NodeRole::kProxy;
  /** Larger than that of any earlier run of this process. */
  std::uint64_t incarnation = 0;
  /** Peers that are known from the settings, by their peer_url. */
  std::vector<std::string> seeds;
  /** How long the members and proxies of a zone that can't be reached stay
   * in the routing view. */
  std::chrono::milliseconds keep_unreachable = std::chrono::hours(1);
  /** For the choice of peers to compare with. */
  std::uint64_t random_seed = 0;
  MembershipFaults faults;
};

/**
 * Keeps the newest record of each process and member. A change goes from where
 * it was noticed to the relays of the zone, from there to all processes of the
 * zone and to the relays of the other zones, and on to their processes; each
 * step is repeated until acknowledged. Digests find what was lost nonetheless.
 * Not safe for use by several threads.
 */
class MembershipNode {
 public:
  /** Starts with this process alone. */
  MembershipNode(MembershipSettings settings, MembershipHooks hooks);

  MembershipNode(const MembershipNode&) = delete;
  MembershipNode& operator=(const MembershipNode&) = delete;

  /** Takes a member's announcement. Returns whether it changed what was known.
   * Throws UserError for one that makes no sense. */
  bool OnAnnouncement(std::chrono::steady_clock::time_point now,
                      const MemberAnnouncement& announcement);

  /** Takes a message of a peer. Returns false, and does nothing, for a message
   * that doesn't concern membership. */
  bool OnMessage(std::chrono::steady_clock::time_point now,
                 const PeerMessage& message);

  /** Takes that a process sent a message of any kind. Processes that don't
   * know each other, because one restarted and all its seeds did too, compare
   * their records. */
  void OnContact(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const std::string& from_url);

  /** Tells all peers that this process takes no new work. */
  void StartDraining(std::chrono::steady_clock::time_point now);

  /** Tells all peers that this process ends, so that none waits for it. */
  void Leave(std::chrono::steady_clock::time_point now);

  /** Sends what is due and notices who fell silent. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When to call OnTick next. */
  std::chrono::steady_clock::time_point NextWakeup() const;

  /** The live proxies but this one. */
  std::vector<ProxyInfo> Peers() const;

  /** The live control processes but this one. */
  std::vector<ProxyInfo> ControlPeers() const;

  /** The zones that can't be reached, each with the time since which. */
  const std::map<AvailabilityZone, std::chrono::steady_clock::time_point>&
  UnreachableSince() const {
    return this->unreachable;
  }

  /** Whether this process is one of its zone's relays. */
  bool IsRelay() const { return this->topology.IsRelay(this->self.info.id); }

  /** All records. */
  const MembershipTable& Table() const { return this->table; }

  /** The picture for the traffic threads. */
  RoutingView BuildView(std::chrono::steady_clock::time_point now);

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  void SendTo(const NodeId& to, const PeerBody& body);
  void OnDelta(TimePoint now, const PeerMessage& message,
               const MembershipDelta& delta);
  void OnHeartbeat(TimePoint now, const PeerMessage& message,
                   const NodeHeartbeat& heartbeat);
  void OnBuckets(TimePoint now, const PeerMessage& message,
                 const MembershipBuckets& buckets);
  bool Take(TimePoint now, const MembershipRecord& record);
  void Settle(TimePoint now);
  void AfterNodeChange(const MembershipRecord& record);
  void AfterMemberChange(TimePoint now, const MembershipRecord& record);
  void Originate(TimePoint now, const MembershipRecord& record);
  void ReviveIfHeard(TimePoint now, const MembershipRecord& record);
  void CorrectOwnRecord(TimePoint now);
  void PublishSelf(TimePoint now, bool gone);
  void OnNodeLost(TimePoint now, const NodeId& node);
  void OnMemberLost(TimePoint now, const MemberHeard& last);
  void Spread(const MembershipRecord& record, const NodeId& from);
  void SpreadAsRelay(const MembershipRecord& record, const NodeId& from);
  void AddTo(const std::vector<NodeId>& nodes, const NodeId& from,
             const MembershipRecord& record);
  void CompareWhenDue(TimePoint now);
  void CompareInOwnZone(TimePoint now);
  void CompareWithOtherZone(TimePoint now);
  const NodeId& AnyOf(const std::vector<NodeId>& nodes);
  void NoteContact(TimePoint now, const NodeId& from);
  void FindUnreachable(TimePoint now);
  void LearnUnreachable(TimePoint now, const MembershipBuckets& buckets);
  std::vector<UnreachableZone> UnreachableNow(TimePoint now) const;
  std::vector<ProxyInfo> PeersOf(NodeRole role) const;

  NodeState self;
  MembershipSettings settings;
  MembershipHooks hooks;
  std::mt19937_64 random;
  MembershipTable table;
  ZoneTopology topology;
  DeltaOutbox outbox;
  NodeObserver observer;
  MemberMonitor monitor;
  RecordComparison comparison;
  RoutingViewBuilder view_builder;
  bool started = false;
  bool left = false;
  /** Whether a comparison has found no difference yet. */
  bool joined;
  bool topology_changed = false;
  /** Whether another process has a record of this one that is newer. */
  bool contradicted = false;
  TimePoint last_tick;
  /** Peers whose tables differed, and when to compare again. */
  std::map<std::string, TimePoint> repeat_comparisons;
  TimePoint next_drop;
  TimePoint next_own_comparison;
  std::chrono::milliseconds own_interval{200};
  TimePoint next_zone_comparison;
  TimePoint next_stranger_comparison;
  std::size_t zone_turn = 0;
  std::map<AvailabilityZone, TimePoint> contacts;
  std::map<AvailabilityZone, TimePoint> unreachable;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_NODE_H_
