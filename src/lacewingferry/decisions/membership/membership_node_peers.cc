// The parts of MembershipNode that select the peers for records and for
// comparisons of tables, and that detect unreachable zones.

#include <algorithm>

#include "lacewingferry/decisions/membership/membership_node.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kOwnZoneComparisonInterval{10000};
constexpr milliseconds kJoinComparisonInterval{200};
constexpr milliseconds kFollowUpComparisonDelay{300};
constexpr milliseconds kAnswerTimeout{1000};
constexpr milliseconds kUnknownPeerComparisonInterval{200};
constexpr seconds kOtherZoneComparisonInterval{1};
/** Scales with the number of zones, because a relay compares with one other
 * zone at a time. */
constexpr seconds kUnreachableTimeoutPerZone{3};
constexpr seconds kMinUnreachableTimeout{5};

}  // namespace

/**
 * A relay forwards a record to all processes of its zone and, unless it comes
 * from a relay of another zone, to the relays of all other zones. Any other
 * process forwards it to the relays of its zone, unless it comes from one of
 * them. A joining process also sends the records that it publishes to its
 * seeds, since it may not know the relays of its zone yet.
 */
void MembershipNode::Spread(const MembershipRecord& record,
                            const NodeId& from) {
  const std::vector<NodeId>& relays =
      this->topology.RelaysOf(this->self.info.zone);
  if (!this->joined && from == this->self.info.id) {
    for (const std::string& seed : this->settings.seeds) {
      this->outbox.Add(seed, record);
    }
  }
  if (this->IsRelay()) {
    this->SpreadAsRelay(record, from);
  } else if (std::find(relays.begin(), relays.end(), from) == relays.end()) {
    this->QueueFor(relays, from, record);
  }
}

void MembershipNode::SpreadAsRelay(const MembershipRecord& record,
                                   const NodeId& from) {
  const AvailabilityZone& own = this->self.info.zone;
  this->QueueFor(this->topology.NodesOf(own), from, record);
  const NodeState* sender = this->topology.Find(from);
  const bool from_other_relay = sender != nullptr && sender->info.zone != own &&
                                this->topology.IsRelay(from);
  if (from_other_relay) return;
  for (const AvailabilityZone& zone : this->topology.Zones()) {
    if (zone == own) continue;
    this->QueueFor(this->topology.RelaysOf(zone), from, record);
  }
}

void MembershipNode::QueueFor(const std::vector<NodeId>& nodes,
                              const NodeId& from,
                              const MembershipRecord& record) {
  for (const NodeId& node : nodes) {
    if (node == from || node == this->self.info.id) continue;
    this->outbox.Add(this->topology.Find(node)->info.peer_url, record);
  }
}

void MembershipNode::OnBuckets(TimePoint now, const PeerMessage& message,
                               const MembershipBuckets& buckets) {
  const std::vector<NodeId>& relays =
      this->topology.RelaysOf(this->self.info.zone);
  const bool from_relay =
      std::find(relays.begin(), relays.end(), message.from) != relays.end();
  if (from_relay && !this->IsRelay()) this->AdoptUnreachableZones(now, buckets);
  if (this->comparison.OnBuckets(message.from_url, buckets)) {
    this->joined = true;
    this->scheduled_comparisons.erase(message.from_url);
  } else {
    this->scheduled_comparisons[message.from_url] =
        now + kFollowUpComparisonDelay;
  }
}

void MembershipNode::StartDueComparisons(TimePoint now) {
  for (auto it = this->scheduled_comparisons.begin();
       it != this->scheduled_comparisons.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    this->comparison.Start(it->first);
    it = this->scheduled_comparisons.erase(it);
  }
  if (now >= this->next_own_zone_comparison) this->CompareInOwnZone(now);
  if (this->IsRelay() && now >= this->next_other_zone_comparison) {
    this->CompareWithOtherZone(now);
  }
}

const NodeId& MembershipNode::RandomNode(const std::vector<NodeId>& nodes) {
  return nodes[this->random() % nodes.size()];
}

void MembershipNode::CompareInOwnZone(TimePoint now) {
  if (!this->joined) {
    this->next_own_zone_comparison = now + kJoinComparisonInterval;
    this->own_zone_interval = kJoinComparisonInterval;
    const std::vector<std::string>& seeds = this->settings.seeds;
    this->comparison.Start(seeds[this->random() % seeds.size()]);
    return;
  }
  // A process that has just joined compares more often, since peers do not
  // forward the records that they received while joining themselves.
  this->own_zone_interval =
      std::min(2 * this->own_zone_interval, kOwnZoneComparisonInterval);
  this->next_own_zone_comparison = now + this->own_zone_interval;
  std::vector<NodeId> relays = this->topology.RelaysOf(this->self.info.zone);
  relays.erase(std::remove(relays.begin(), relays.end(), this->self.info.id),
               relays.end());
  if (relays.empty()) return;
  const std::string& url =
      this->topology.Find(this->RandomNode(relays))->info.peer_url;
  this->comparison.Start(url);
  // Without an answer, which removes or replaces this entry, the comparison is
  // started again.
  this->scheduled_comparisons[url] = now + kAnswerTimeout;
}

/** Compares with a relay of one other zone, in round-robin order. For an
 * unreachable zone it picks any process, since the relays may have changed
 * since the last contact. */
void MembershipNode::CompareWithOtherZone(TimePoint now) {
  this->next_other_zone_comparison = now + kOtherZoneComparisonInterval;
  std::vector<AvailabilityZone> zones = this->topology.Zones();
  zones.erase(std::remove(zones.begin(), zones.end(), this->self.info.zone),
              zones.end());
  if (zones.empty()) return;
  const AvailabilityZone& zone = zones[this->next_zone_index++ % zones.size()];
  const bool is_unreachable = this->unreachable_since.count(zone) != 0;
  const std::vector<NodeId>& candidates = is_unreachable
                                              ? this->topology.NodesOf(zone)
                                              : this->topology.RelaysOf(zone);
  this->comparison.Start(
      this->topology.Find(this->RandomNode(candidates))->info.peer_url);
}

void MembershipNode::OnContact(TimePoint now, const NodeId& from,
                               const std::string& from_url) {
  const bool known =
      from == this->self.info.id || this->topology.Find(from) != nullptr;
  if (known || this->has_left || from_url.empty()) return;
  if (now < this->next_unknown_peer_comparison) return;
  this->next_unknown_peer_comparison = now + kUnknownPeerComparisonInterval;
  this->comparison.Start(from_url);
}

void MembershipNode::RecordContact(TimePoint now, const NodeId& from) {
  const NodeState* node = this->topology.Find(from);
  if (node == nullptr || !this->IsRelay()) return;
  this->last_contact[node->info.zone] = now;
  this->unreachable_since.erase(node->info.zone);
}

void MembershipNode::DetectUnreachableZones(TimePoint now) {
  if (!this->IsRelay()) {
    this->last_contact.clear();
    return;
  }
  const std::vector<AvailabilityZone> zones = this->topology.Zones();
  const auto limit = std::max<std::chrono::steady_clock::duration>(
      kMinUnreachableTimeout,
      kUnreachableTimeoutPerZone * static_cast<int>(zones.size()));
  for (const AvailabilityZone& zone : zones) {
    if (zone == this->self.info.zone) continue;
    const TimePoint last = this->last_contact.emplace(zone, now).first->second;
    if (now - last > limit) this->unreachable_since.emplace(zone, last);
  }
}

void MembershipNode::AdoptUnreachableZones(TimePoint now,
                                           const MembershipBuckets& buckets) {
  std::map<AvailabilityZone, TimePoint> reported;
  for (const UnreachableZone& zone : buckets.unreachable) {
    const auto known = this->unreachable_since.find(zone.zone);
    reported[zone.zone] = known != this->unreachable_since.end()
                              ? known->second
                              : now - zone.silence;
  }
  this->unreachable_since = std::move(reported);
}

std::vector<UnreachableZone> MembershipNode::UnreachableZones(
    TimePoint now) const {
  std::vector<UnreachableZone> zones;
  for (const auto& entry : this->unreachable_since) {
    const auto silence =
        std::chrono::duration_cast<milliseconds>(now - entry.second);
    zones.push_back(UnreachableZone{entry.first, silence});
  }
  return zones;
}

}  // namespace lacewingferry
