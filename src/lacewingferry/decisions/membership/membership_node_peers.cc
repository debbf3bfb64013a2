// The part of MembershipNode that chooses to whom it speaks: whom a record is
// spread to, whom this process compares its table with, and which zones can't
// be reached.

#include <algorithm>

#include "lacewingferry/decisions/membership/membership_node.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kOwnZoneComparison{10000};
constexpr milliseconds kJoinComparison{200};
constexpr milliseconds kRepeatComparison{300};
constexpr milliseconds kAnswerTimeout{1000};
constexpr milliseconds kStrangerComparison{200};
constexpr seconds kOtherZoneComparison{1};
/** A relay compares with one other zone at a time. */
constexpr seconds kSilencePerZone{3};
constexpr seconds kLeastZoneSilence{5};

}  // namespace

/**
 * A relay passes on to its whole zone, and what comes from its zone to the
 * relays of the others. Any other process passes on to its relays, unless it
 * has the record from one of them. While a process joins it knows too little
 * of its zone, so that its seeds help.
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
    this->AddTo(relays, from, record);
  }
}

void MembershipNode::SpreadAsRelay(const MembershipRecord& record,
                                   const NodeId& from) {
  const AvailabilityZone& own = this->self.info.zone;
  this->AddTo(this->topology.NodesOf(own), from, record);
  const NodeState* sender = this->topology.Find(from);
  const bool from_other_relay = sender != nullptr && sender->info.zone != own &&
                                this->topology.IsRelay(from);
  if (from_other_relay) return;
  for (const AvailabilityZone& zone : this->topology.Zones()) {
    if (zone == own) continue;
    this->AddTo(this->topology.RelaysOf(zone), from, record);
  }
}

void MembershipNode::AddTo(const std::vector<NodeId>& nodes, const NodeId& from,
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
  if (from_relay && !this->IsRelay()) this->LearnUnreachable(now, buckets);
  if (this->comparison.OnBuckets(message.from_url, buckets)) {
    this->joined = true;
    this->repeat_comparisons.erase(message.from_url);
  } else {
    this->repeat_comparisons[message.from_url] = now + kRepeatComparison;
  }
}

void MembershipNode::CompareWhenDue(TimePoint now) {
  for (auto it = this->repeat_comparisons.begin();
       it != this->repeat_comparisons.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    this->comparison.Begin(it->first);
    it = this->repeat_comparisons.erase(it);
  }
  if (now >= this->next_own_comparison) this->CompareInOwnZone(now);
  if (this->IsRelay() && now >= this->next_zone_comparison) {
    this->CompareWithOtherZone(now);
  }
}

const NodeId& MembershipNode::AnyOf(const std::vector<NodeId>& nodes) {
  return nodes[this->random() % nodes.size()];
}

void MembershipNode::CompareInOwnZone(TimePoint now) {
  if (!this->joined) {
    this->next_own_comparison = now + kJoinComparison;
    this->own_interval = kJoinComparison;
    const std::vector<std::string>& seeds = this->settings.seeds;
    this->comparison.Begin(seeds[this->random() % seeds.size()]);
    return;
  }
  // A process that has just joined compares more often: what its peers learned
  // while they joined themselves was not spread.
  this->own_interval = std::min(2 * this->own_interval, kOwnZoneComparison);
  this->next_own_comparison = now + this->own_interval;
  std::vector<NodeId> relays = this->topology.RelaysOf(this->self.info.zone);
  relays.erase(std::remove(relays.begin(), relays.end(), this->self.info.id),
               relays.end());
  if (relays.empty()) return;
  const std::string& url =
      this->topology.Find(this->AnyOf(relays))->info.peer_url;
  this->comparison.Begin(url);
  // Lost unless an answer takes this out again.
  this->repeat_comparisons[url] = now + kAnswerTimeout;
}

/** Takes the other zones in turn. In a zone that can't be reached the relays
 * may have changed meanwhile, so that any process of it is tried. */
void MembershipNode::CompareWithOtherZone(TimePoint now) {
  this->next_zone_comparison = now + kOtherZoneComparison;
  std::vector<AvailabilityZone> zones = this->topology.Zones();
  zones.erase(std::remove(zones.begin(), zones.end(), this->self.info.zone),
              zones.end());
  if (zones.empty()) return;
  const AvailabilityZone& zone = zones[this->zone_turn++ % zones.size()];
  const bool cut = this->unreachable.count(zone) != 0;
  const std::vector<NodeId>& candidates =
      cut ? this->topology.NodesOf(zone) : this->topology.RelaysOf(zone);
  this->comparison.Begin(
      this->topology.Find(this->AnyOf(candidates))->info.peer_url);
}

void MembershipNode::OnContact(TimePoint now, const NodeId& from,
                               const std::string& from_url) {
  const bool known =
      from == this->self.info.id || this->topology.Find(from) != nullptr;
  if (known || this->left || from_url.empty()) return;
  if (now < this->next_stranger_comparison) return;
  this->next_stranger_comparison = now + kStrangerComparison;
  this->comparison.Begin(from_url);
}

void MembershipNode::NoteContact(TimePoint now, const NodeId& from) {
  const NodeState* node = this->topology.Find(from);
  if (node == nullptr || !this->IsRelay()) return;
  this->contacts[node->info.zone] = now;
  this->unreachable.erase(node->info.zone);
}

void MembershipNode::FindUnreachable(TimePoint now) {
  if (!this->IsRelay()) {
    this->contacts.clear();
    return;
  }
  const std::vector<AvailabilityZone> zones = this->topology.Zones();
  const auto limit = std::max<std::chrono::steady_clock::duration>(
      kLeastZoneSilence, kSilencePerZone * static_cast<int>(zones.size()));
  for (const AvailabilityZone& zone : zones) {
    if (zone == this->self.info.zone) continue;
    const TimePoint heard = this->contacts.emplace(zone, now).first->second;
    if (now - heard > limit) this->unreachable.emplace(zone, heard);
  }
}

void MembershipNode::LearnUnreachable(TimePoint now,
                                      const MembershipBuckets& buckets) {
  std::map<AvailabilityZone, TimePoint> learned;
  for (const UnreachableZone& zone : buckets.unreachable) {
    const auto known = this->unreachable.find(zone.zone);
    learned[zone.zone] =
        known != this->unreachable.end() ? known->second : now - zone.silence;
  }
  this->unreachable = std::move(learned);
}

std::vector<UnreachableZone> MembershipNode::UnreachableNow(
    TimePoint now) const {
  std::vector<UnreachableZone> zones;
  for (const auto& entry : this->unreachable) {
    const auto silence =
        std::chrono::duration_cast<milliseconds>(now - entry.second);
    zones.push_back(UnreachableZone{entry.first, silence});
  }
  return zones;
}

}  // namespace lacewingferry
