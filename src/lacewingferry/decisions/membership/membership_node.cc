#include "lacewingferry/decisions/membership/membership_node.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/membership/announcement_check.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{50};
/** A longer time between two ticks means that this process was paused. */
constexpr milliseconds kMaxTickGap{500};
/** Tombstones are kept this long, so that delayed messages with older records
 * are rejected. */
constexpr std::chrono::minutes kTombstoneRetention{10};
constexpr std::chrono::minutes kPurgeInterval{1};

/** Whether an announcement changes the state of the member, beyond showing that
 * it is alive. */
bool ChangesState(const MemberAnnouncement& known,
                  const MemberAnnouncement& offered) {
  const MemberInfo& a = known.info;
  const MemberInfo& b = offered.info;
  const bool same_info = a.database == b.database && a.group == b.group &&
                         a.zone == b.zone && a.endpoint == b.endpoint &&
                         a.slots == b.slots && a.leaving == b.leaving;
  return !same_info || known.incarnation != offered.incarnation ||
         known.primary != offered.primary || known.term != offered.term ||
         !(known.replication_endpoint == offered.replication_endpoint);
}

}  // namespace

MembershipNode::MembershipNode(MembershipSettings node_settings,
                               MembershipHooks node_hooks)
    : self{node_settings.self, node_settings.role, node_settings.incarnation,
           1},
      settings(std::move(node_settings)),
      hooks(std::move(node_hooks)),
      random(this->settings.random_seed),
      table(this->settings.faults),
      outbox([this](const std::string& url, const MembershipDelta& delta) {
        this->hooks.send(url, delta);
      }),
      observer(
          this->self.info.id, this->self.incarnation,
          NodeObserverHooks{[this](const NodeId& to, const PeerBody& body) {
                              this->SendTo(to, body);
                            },
                            [this](TimePoint now, const NodeId& peer) {
                              this->OnNodeLost(now, peer);
                            }}),
      monitor(
          this->self.info.id,
          MemberMonitorHooks{[this](const NodeId& to, const PeerBody& body) {
                               this->SendTo(to, body);
                             },
                             [this](TimePoint now, const MemberHeard& last) {
                               this->OnMemberLost(now, last);
                             }}),
      comparison(this->table, this->outbox, this->hooks.send),
      joined(false) {
  auto& seeds = this->settings.seeds;
  seeds.erase(std::remove(seeds.begin(), seeds.end(), this->self.info.peer_url),
              seeds.end());
  this->joined = seeds.empty();
  this->topology.Rebuild({this->self});
}

bool MembershipNode::OnAnnouncement(TimePoint now,
                                    const MemberAnnouncement& announcement) {
  CheckAnnouncement(announcement);
  const MembershipRecord offered{announcement, false};
  const MembershipRecord* known = this->table.Find(announcement.info.id);
  bool changes = true;
  if (known != nullptr) {
    const auto& held = std::get<MemberAnnouncement>(known->subject);
    if (!known->gone) CheckSameDatabase(held, announcement);
    changes = known->gone || ChangesState(held, announcement);
    const bool older = !(known->Version() < offered.Version());
    if (older && !this->settings.faults.accept_older) return false;
  }
  if (changes) this->PublishRecord(now, offered);
  this->monitor.OnAnnounced(now, this->topology, announcement);
  this->outbox.Flush(now);
  return changes;
}

bool MembershipNode::OnMessage(TimePoint now, const PeerMessage& message) {
  const std::string& url = message.from_url;
  const PeerBody& body = message.body;
  if (const auto* delta = std::get_if<MembershipDelta>(&body)) {
    this->OnDelta(now, message, *delta);
  } else if (const auto* ack = std::get_if<MembershipAck>(&body)) {
    this->outbox.OnAck(ack->delta_id);
  } else if (const auto* heard = std::get_if<MemberHeard>(&body)) {
    this->monitor.OnHeard(now, message.from, *heard);
  } else if (const auto* inquiry = std::get_if<MemberInquiry>(&body)) {
    this->monitor.OnInquiry(now, message.from, *inquiry);
  } else if (const auto* heartbeat = std::get_if<NodeHeartbeat>(&body)) {
    this->OnHeartbeat(now, message, *heartbeat);
  } else if (std::holds_alternative<NodeProbe>(body)) {
    this->hooks.send(url, NodeHeartbeat{this->self.incarnation});
  } else if (const auto* digest = std::get_if<MembershipDigest>(&body)) {
    this->comparison.OnDigest(url, *digest, this->UnreachableZones(now));
  } else if (const auto* buckets = std::get_if<MembershipBuckets>(&body)) {
    this->OnBuckets(now, message, *buckets);
  } else if (const auto* versions = std::get_if<MembershipVersions>(&body)) {
    this->comparison.OnVersions(now, url, *versions);
  } else if (const auto* pull = std::get_if<MembershipPull>(&body)) {
    this->comparison.OnPull(now, url, *pull);
  } else {
    return false;
  }
  this->RecordContact(now, message.from);
  this->outbox.Flush(now);
  return true;
}

void MembershipNode::SendTo(const NodeId& to, const PeerBody& body) {
  const NodeState* node = this->topology.Find(to);
  if (node != nullptr) this->hooks.send(node->info.peer_url, body);
}

void MembershipNode::OnDelta(TimePoint now, const PeerMessage& message,
                             const MembershipDelta& delta) {
  for (const MembershipRecord& record : delta.records) {
    const auto* member = std::get_if<MemberAnnouncement>(&record.subject);
    if (member != nullptr) CheckAnnouncement(*member);
  }
  this->hooks.send(message.from_url, MembershipAck{delta.delta_id});
  std::vector<MembershipRecord> applied;
  for (const MembershipRecord& record : delta.records) {
    if (this->ApplyRecord(now, record)) applied.push_back(record);
  }
  this->UpdateTopology(now);
  // Records that a comparison brings to a joining process are new only to it,
  // so it does not forward them.
  const bool should_spread = this->joined || !delta.compared;
  for (const MembershipRecord& record : applied) {
    if (should_spread) this->Spread(record, message.from);
    if (std::holds_alternative<MemberAnnouncement>(record.subject)) {
      this->AfterMemberChange(now, record);
    }
  }
}

void MembershipNode::OnHeartbeat(TimePoint now, const PeerMessage& message,
                                 const NodeHeartbeat& heartbeat) {
  const MembershipRecord* known = this->table.Find(message.from);
  const bool gone = known != nullptr && known->gone;
  if (gone && heartbeat.incarnation <= known->Version().incarnation) {
    // The sender is alive but recorded as gone. Send it that record, so that it
    // publishes a newer one.
    this->outbox.Add(message.from_url, *known);
  }
  this->observer.OnHeartbeat(now, message.from, heartbeat);
}

bool MembershipNode::ApplyRecord(TimePoint now,
                                 const MembershipRecord& record) {
  if (!this->table.Apply(now, record)) return false;
  if (std::holds_alternative<NodeState>(record.subject)) {
    this->AfterNodeChange(record);
  }
  this->hooks.changed(record);
  return true;
}

void MembershipNode::AfterNodeChange(const MembershipRecord& record) {
  const auto& node = std::get<NodeState>(record.subject);
  if (record.gone) this->outbox.RemovePeer(node.info.peer_url);
  const bool ignore_loss =
      record.gone && this->settings.faults.keep_lost_relays;
  if (!ignore_loss) this->topology_changed = true;
  if (node.info.id != this->self.info.id) return;
  const RecordVersion own{this->self.incarnation, this->self.sequence, false};
  if (own < record.Version()) this->own_record_superseded = true;
}

void MembershipNode::AfterMemberChange(TimePoint now,
                                       const MembershipRecord& record) {
  const auto& member = std::get<MemberAnnouncement>(record.subject);
  if (record.gone) {
    this->monitor.StopMonitoring(member.info.id);
    this->RestoreIfHeard(now, record);
  } else {
    this->monitor.StartMonitoring(now, this->topology, member);
  }
}

/** Replaces a record of this process that a peer sent by a newer one, and
 * recomputes the assignments if processes came, went or changed. */
void MembershipNode::UpdateTopology(TimePoint now) {
  if (this->own_record_superseded) this->CorrectOwnRecord(now);
  if (!this->topology_changed) return;
  this->topology_changed = false;
  std::vector<NodeState> nodes;
  this->table.ForEachNode(
      [&nodes](const NodeState& node) { nodes.push_back(node); });
  this->topology.Rebuild(nodes);
  std::vector<MemberAnnouncement> members;
  this->table.ForEachMember([&members](const MemberAnnouncement& member) {
    members.push_back(member);
  });
  this->observer.Rebuild(now, this->topology);
  this->monitor.Rebuild(now, this->topology, members);
}

void MembershipNode::PublishRecord(TimePoint now,
                                   const MembershipRecord& record) {
  if (!this->ApplyRecord(now, record)) return;
  this->UpdateTopology(now);
  this->Spread(record, this->self.info.id);
  if (std::holds_alternative<MemberAnnouncement>(record.subject)) {
    this->AfterMemberChange(now, record);
  }
}

void MembershipNode::RestoreIfHeard(TimePoint now,
                                    const MembershipRecord& record) {
  auto member = std::get<MemberAnnouncement>(record.subject);
  const MemberHeard* heard = this->monitor.HeardRecently(now, member.info.id);
  if (heard == nullptr || heard->incarnation != member.incarnation) return;
  if (heard->sequence <= member.sequence) return;
  member.sequence = heard->sequence;
  this->PublishRecord(now, MembershipRecord{member, false});
}

void MembershipNode::CorrectOwnRecord(TimePoint now) {
  this->own_record_superseded = false;
  if (this->has_left) return;
  const RecordVersion newest_known =
      this->table.Find(this->self.info.id)->Version();
  this->self.incarnation = newest_known.incarnation;
  this->self.sequence = newest_known.sequence;
  this->observer.SetIncarnation(this->self.incarnation);
  this->PublishOwnRecord(now, false);
}

void MembershipNode::PublishOwnRecord(TimePoint now, bool gone) {
  ++this->self.sequence;
  this->PublishRecord(now, MembershipRecord{this->self, gone});
}

void MembershipNode::StartDraining(TimePoint now) {
  this->self.info.draining = true;
  this->PublishOwnRecord(now, false);
  this->outbox.Flush(now);
}

void MembershipNode::Leave(TimePoint now) {
  this->has_left = true;
  this->PublishOwnRecord(now, true);
  this->outbox.Flush(now);
}

void MembershipNode::OnNodeLost(TimePoint now, const NodeId& node) {
  const MembershipRecord* known = this->table.Find(node);
  if (known == nullptr || known->gone) return;
  this->PublishRecord(now, MembershipRecord{known->subject, true});
}

void MembershipNode::OnMemberLost(TimePoint now, const MemberHeard& last) {
  const MembershipRecord* known = this->table.Find(last.member);
  if (known == nullptr || known->gone) return;
  auto member = std::get<MemberAnnouncement>(known->subject);
  if (last.incarnation == member.incarnation) {
    member.sequence = std::max(member.sequence, last.sequence);
  }
  this->PublishRecord(now, MembershipRecord{member, true});
}

void MembershipNode::OnTick(TimePoint now) {
  if (!this->started) {
    this->started = true;
    this->last_tick = now;
    this->PublishOwnRecord(now, false);
  }
  const auto pause = now - this->last_tick;
  this->last_tick = now;
  if (pause > kMaxTickGap) {
    this->observer.ExcludePause(pause);
    this->monitor.ExcludePause(pause);
  }
  if (!this->has_left) {
    this->observer.OnTick(now);
    this->monitor.OnTick(now, this->topology);
    this->StartDueComparisons(now);
  }
  this->DetectUnreachableZones(now);
  if (now >= this->next_purge) {
    this->next_purge = now + kPurgeInterval;
    this->table.PurgeTombstones(now - kTombstoneRetention);
  }
  this->outbox.OnTick(now);
  this->outbox.Flush(now);
}

std::chrono::steady_clock::time_point MembershipNode::NextWakeup() const {
  return this->last_tick + kTickInterval;
}

std::vector<ProxyInfo> MembershipNode::PeersWithRole(NodeRole role) const {
  std::vector<ProxyInfo> peers;
  this->table.ForEachNode([&](const NodeState& node) {
    const bool other = node.info.id != this->self.info.id;
    if (other && node.role == role) peers.push_back(node.info);
  });
  return peers;
}

std::vector<ProxyInfo> MembershipNode::ProxyPeers() const {
  return this->PeersWithRole(NodeRole::kProxy);
}

std::vector<ProxyInfo> MembershipNode::ControlPeers() const {
  return this->PeersWithRole(NodeRole::kControl);
}

RoutingView MembershipNode::BuildView(TimePoint now) {
  std::set<AvailabilityZone> excluded_zones;
  for (const auto& entry : this->unreachable_since) {
    const bool expired =
        now - entry.second > this->settings.unreachable_retention;
    if (expired) excluded_zones.insert(entry.first);
  }
  return this->view_builder.Build(this->table, excluded_zones);
}

}  // namespace lacewingferry
