#include "lacewingferry/decisions/membership/membership_node.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/membership/announcement_check.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{50};
/** A longer time between two ticks means that this process stood still. */
constexpr milliseconds kLongestTick{500};
/** Records of those that are gone are kept to refuse late messages. */
constexpr std::chrono::minutes kKeepGone{10};
constexpr std::chrono::minutes kDropInterval{1};

/** Whether an announcement says more than that the member lives on. */
bool ChangesKind(const MemberAnnouncement& known,
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
    changes = known->gone || ChangesKind(held, announcement);
    const bool older = !(known->Version() < offered.Version());
    if (older && !this->settings.faults.accept_older) return false;
  }
  if (changes) this->Originate(now, offered);
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
  } else if (const auto* beat = std::get_if<NodeHeartbeat>(&body)) {
    this->OnHeartbeat(now, message, *beat);
  } else if (std::holds_alternative<NodeProbe>(body)) {
    this->hooks.send(url, NodeHeartbeat{this->self.incarnation});
  } else if (const auto* digest = std::get_if<MembershipDigest>(&body)) {
    this->comparison.OnDigest(url, *digest, this->UnreachableNow(now));
  } else if (const auto* buckets = std::get_if<MembershipBuckets>(&body)) {
    this->OnBuckets(now, message, *buckets);
  } else if (const auto* versions = std::get_if<MembershipVersions>(&body)) {
    this->comparison.OnVersions(now, url, *versions);
  } else if (const auto* pull = std::get_if<MembershipPull>(&body)) {
    this->comparison.OnPull(now, url, *pull);
  } else {
    return false;
  }
  this->NoteContact(now, message.from);
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
  std::vector<MembershipRecord> taken;
  for (const MembershipRecord& record : delta.records) {
    if (this->Take(now, record)) taken.push_back(record);
  }
  this->Settle(now);
  // What a process learns while it joins is new to itself only.
  const bool spread = this->joined || !delta.compared;
  for (const MembershipRecord& record : taken) {
    if (spread) this->Spread(record, message.from);
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
    // It lives and must hear that others think otherwise, to correct them.
    this->outbox.Add(message.from_url, *known);
  }
  this->observer.OnHeartbeat(now, message.from, heartbeat);
}

bool MembershipNode::Take(TimePoint now, const MembershipRecord& record) {
  if (!this->table.Apply(now, record)) return false;
  if (std::holds_alternative<NodeState>(record.subject)) {
    this->AfterNodeChange(record);
  }
  this->hooks.changed(record);
  return true;
}

void MembershipNode::AfterNodeChange(const MembershipRecord& record) {
  const auto& node = std::get<NodeState>(record.subject);
  if (record.gone) this->outbox.Forget(node.info.peer_url);
  const bool keeps = record.gone && this->settings.faults.keep_lost_relays;
  if (!keeps) this->topology_changed = true;
  if (node.info.id != this->self.info.id) return;
  const RecordVersion own{this->self.incarnation, this->self.sequence, false};
  if (own < record.Version()) this->contradicted = true;
}

void MembershipNode::AfterMemberChange(TimePoint now,
                                       const MembershipRecord& record) {
  const auto& member = std::get<MemberAnnouncement>(record.subject);
  if (record.gone) {
    this->monitor.Forget(member.info.id);
    this->ReviveIfHeard(now, record);
  } else {
    this->monitor.Watch(now, this->topology, member);
  }
}

/** Derives the duties anew, if processes came, went or changed. */
void MembershipNode::Settle(TimePoint now) {
  if (this->contradicted) this->CorrectOwnRecord(now);
  if (!this->topology_changed) return;
  this->topology_changed = false;
  std::vector<NodeState> nodes;
  this->table.EachNode(
      [&nodes](const NodeState& node) { nodes.push_back(node); });
  this->topology.Rebuild(nodes);
  std::vector<MemberAnnouncement> members;
  this->table.EachMember([&members](const MemberAnnouncement& member) {
    members.push_back(member);
  });
  this->observer.Rebuild(now, this->topology);
  this->monitor.Rebuild(now, this->topology, members);
}

void MembershipNode::Originate(TimePoint now, const MembershipRecord& record) {
  if (!this->Take(now, record)) return;
  this->Settle(now);
  this->Spread(record, this->self.info.id);
  if (std::holds_alternative<MemberAnnouncement>(record.subject)) {
    this->AfterMemberChange(now, record);
  }
}

void MembershipNode::ReviveIfHeard(TimePoint now,
                                   const MembershipRecord& record) {
  auto member = std::get<MemberAnnouncement>(record.subject);
  const MemberHeard* heard = this->monitor.HeardLately(now, member.info.id);
  if (heard == nullptr || heard->incarnation != member.incarnation) return;
  if (heard->sequence <= member.sequence) return;
  member.sequence = heard->sequence;
  this->Originate(now, MembershipRecord{member, false});
}

void MembershipNode::CorrectOwnRecord(TimePoint now) {
  this->contradicted = false;
  if (this->left) return;
  const RecordVersion theirs = this->table.Find(this->self.info.id)->Version();
  this->self.incarnation = theirs.incarnation;
  this->self.sequence = theirs.sequence;
  this->observer.SetIncarnation(this->self.incarnation);
  this->PublishSelf(now, false);
}

void MembershipNode::PublishSelf(TimePoint now, bool gone) {
  ++this->self.sequence;
  this->Originate(now, MembershipRecord{this->self, gone});
}

void MembershipNode::StartDraining(TimePoint now) {
  this->self.info.draining = true;
  this->PublishSelf(now, false);
  this->outbox.Flush(now);
}

void MembershipNode::Leave(TimePoint now) {
  this->left = true;
  this->PublishSelf(now, true);
  this->outbox.Flush(now);
}

void MembershipNode::OnNodeLost(TimePoint now, const NodeId& node) {
  const MembershipRecord* known = this->table.Find(node);
  if (known == nullptr || known->gone) return;
  this->Originate(now, MembershipRecord{known->subject, true});
}

void MembershipNode::OnMemberLost(TimePoint now, const MemberHeard& last) {
  const MembershipRecord* known = this->table.Find(last.member);
  if (known == nullptr || known->gone) return;
  auto member = std::get<MemberAnnouncement>(known->subject);
  if (last.incarnation == member.incarnation) {
    member.sequence = std::max(member.sequence, last.sequence);
  }
  this->Originate(now, MembershipRecord{member, true});
}

void MembershipNode::OnTick(TimePoint now) {
  if (!this->started) {
    this->started = true;
    this->last_tick = now;
    this->PublishSelf(now, false);
  }
  const auto pause = now - this->last_tick;
  this->last_tick = now;
  if (pause > kLongestTick) {
    this->observer.Forgive(pause);
    this->monitor.Forgive(pause);
  }
  if (!this->left) {
    this->observer.OnTick(now);
    this->monitor.OnTick(now, this->topology);
    this->CompareWhenDue(now);
  }
  this->FindUnreachable(now);
  if (now >= this->next_drop) {
    this->next_drop = now + kDropInterval;
    this->table.DropGone(now - kKeepGone);
  }
  this->outbox.OnTick(now);
  this->outbox.Flush(now);
}

std::chrono::steady_clock::time_point MembershipNode::NextWakeup() const {
  return this->last_tick + kTickInterval;
}

std::vector<ProxyInfo> MembershipNode::PeersOf(NodeRole role) const {
  std::vector<ProxyInfo> peers;
  this->table.EachNode([&](const NodeState& node) {
    const bool other = node.info.id != this->self.info.id;
    if (other && node.role == role) peers.push_back(node.info);
  });
  return peers;
}

std::vector<ProxyInfo> MembershipNode::Peers() const {
  return this->PeersOf(NodeRole::kProxy);
}

std::vector<ProxyInfo> MembershipNode::ControlPeers() const {
  return this->PeersOf(NodeRole::kControl);
}

RoutingView MembershipNode::BuildView(TimePoint now) {
  std::set<AvailabilityZone> left_out;
  for (const auto& entry : this->unreachable) {
    const bool too_long = now - entry.second > this->settings.keep_unreachable;
    if (too_long) left_out.insert(entry.first);
  }
  return this->view_builder.Build(this->table, left_out);
}

}  // namespace lacewingferry
