#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_NODE_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_NODE_H_

// Defines MembershipNode, which holds the state of backend servers and peers as
// known to one process and exchanges it with the peers.

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

/** The callbacks of a MembershipNode. */
struct MembershipHooks {
  /** Sends a message to another process. The message may be lost, delayed or
   * duplicated. */
  std::function<void(const std::string& peer_url, const PeerBody& body)> send;
  /** The table accepted a new or newer record. */
  std::function<void(const MembershipRecord& record)> changed;
};

/** The initial settings of a MembershipNode. */
struct MembershipSettings {
  ProxyInfo self;
  NodeRole role = NodeRole::kProxy;
  /** Must be larger than in any earlier run of this process. */
  std::uint64_t incarnation = 0;
  /** The peer_url of each peer to contact at start. */
  std::vector<std::string> seeds;
  /** How long the members and proxies of an unreachable zone stay in the
   * routing view. */
  std::chrono::milliseconds unreachable_retention = std::chrono::hours(1);
  /** Seeds the random choice of peers to compare with. */
  std::uint64_t random_seed = 0;
  MembershipFaults faults;
};

/**
 * Stores the newest record of each process and member. The process that detects
 * a change sends it to the relays of its zone. They forward it to all processes
 * of the zone and to the relays of the other zones, which forward it to their
 * processes. Each step is resent a few times until it is acknowledged; periodic
 * comparisons of digests find records that were lost even so. Not thread-safe.
 */
class MembershipNode {
 public:
  /** Starts with this process as the only one in the topology. */
  MembershipNode(MembershipSettings settings, MembershipHooks hooks);

  MembershipNode(const MembershipNode&) = delete;
  MembershipNode& operator=(const MembershipNode&) = delete;

  /** Handles an announcement that a member sent to this process. Returns
   * whether it changed the state of the member. Throws UserError if it is
   * invalid. */
  bool OnAnnouncement(std::chrono::steady_clock::time_point now,
                      const MemberAnnouncement& announcement);

  /** Handles a message of a peer. Returns false, and does nothing, if it is not
   * a membership message. */
  bool OnMessage(std::chrono::steady_clock::time_point now,
                 const PeerMessage& message);

  /** Starts a comparison with the sender of a message of any kind, if the
   * sender is unknown. A process that restarted together with all its seeds
   * learns of the other processes this way. */
  void OnContact(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const std::string& from_url);

  /** Announces to all peers that this process accepts no new work. */
  void StartDraining(std::chrono::steady_clock::time_point now);

  /** Announces to all peers that this process ends, so that they need not wait
   * for the failure detection. */
  void Leave(std::chrono::steady_clock::time_point now);

  /** Sends due messages and detects lost processes, lost members and
   * unreachable zones. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When to call OnTick next. */
  std::chrono::steady_clock::time_point NextWakeup() const;

  /** The live proxies other than this process. */
  std::vector<ProxyInfo> ProxyPeers() const;

  /** The live control processes other than this process. */
  std::vector<ProxyInfo> ControlPeers() const;

  /** The unreachable zones, each with the time since which it has been
   * silent. */
  const std::map<AvailabilityZone, std::chrono::steady_clock::time_point>&
  UnreachableSince() const {
    return this->unreachable_since;
  }

  /** Whether this process is one of its zone's relays. */
  bool IsRelay() const { return this->topology.IsRelay(this->self.info.id); }

  const MembershipTable& Table() const { return this->table; }

  /** The routing view for the traffic threads. Excludes zones that have been
   * unreachable for longer than unreachable_retention. */
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
  bool ApplyRecord(TimePoint now, const MembershipRecord& record);
  void UpdateTopology(TimePoint now);
  void AfterNodeChange(const MembershipRecord& record);
  void AfterMemberChange(TimePoint now, const MembershipRecord& record);
  void PublishRecord(TimePoint now, const MembershipRecord& record);
  void RestoreIfHeard(TimePoint now, const MembershipRecord& record);
  void CorrectOwnRecord(TimePoint now);
  void PublishOwnRecord(TimePoint now, bool gone);
  void OnNodeLost(TimePoint now, const NodeId& node);
  void OnMemberLost(TimePoint now, const MemberHeard& last);
  void Spread(const MembershipRecord& record, const NodeId& from);
  void SpreadAsRelay(const MembershipRecord& record, const NodeId& from);
  void QueueFor(const std::vector<NodeId>& nodes, const NodeId& from,
                const MembershipRecord& record);
  void StartDueComparisons(TimePoint now);
  void CompareInOwnZone(TimePoint now);
  void CompareWithOtherZone(TimePoint now);
  const NodeId& RandomNode(const std::vector<NodeId>& nodes);
  void RecordContact(TimePoint now, const NodeId& from);
  void DetectUnreachableZones(TimePoint now);
  void AdoptUnreachableZones(TimePoint now, const MembershipBuckets& buckets);
  std::vector<UnreachableZone> UnreachableZones(TimePoint now) const;
  std::vector<ProxyInfo> PeersWithRole(NodeRole role) const;

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
  bool has_left = false;
  /** Whether a comparison with a peer has found no difference since the start;
   * true from the start without seeds. */
  bool joined;
  bool topology_changed = false;
  /** Whether a peer sent a record of this process that is newer than its
   * own. */
  bool own_record_superseded = false;
  TimePoint last_tick;
  /** When to compare again with a peer whose table differed or whose answer is
   * outstanding, by its peer_url. */
  std::map<std::string, TimePoint> scheduled_comparisons;
  TimePoint next_purge;
  TimePoint next_own_zone_comparison;
  std::chrono::milliseconds own_zone_interval{200};
  TimePoint next_other_zone_comparison;
  TimePoint next_unknown_peer_comparison;
  std::size_t next_zone_index = 0;
  std::map<AvailabilityZone, TimePoint> last_contact;
  std::map<AvailabilityZone, TimePoint> unreachable_since;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_NODE_H_
