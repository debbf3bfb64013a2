#include "lacewingferry/decisions/membership/member_monitor.h"

#include <iterator>
#include <tuple>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

/** Members announce themselves each 500 ms. Two announcements are missing. */
constexpr milliseconds kAskAfter{1050};
constexpr milliseconds kAskInterval{100};
/** Three announcements are missing. */
constexpr milliseconds kLostAfter{1600};

bool IsOlder(const MemberHeard& a, const MemberHeard& b) {
  return std::tie(a.incarnation, a.sequence) <
         std::tie(b.incarnation, b.sequence);
}

MemberHeard HeardOf(const MemberAnnouncement& announcement) {
  return MemberHeard{announcement.info.id, announcement.incarnation,
                     announcement.sequence, milliseconds(0)};
}

}  // namespace

MemberMonitor::MemberMonitor(NodeId self_id, MemberMonitorHooks monitor_hooks)
    : self(std::move(self_id)), hooks(std::move(monitor_hooks)) {}

void MemberMonitor::Rebuild(std::chrono::steady_clock::time_point now,
                            const ZoneTopology& topology,
                            const std::vector<MemberAnnouncement>& members) {
  std::map<MemberId, Hearing> before = std::move(this->monitored);
  this->monitored.clear();
  for (const MemberAnnouncement& member : members) {
    if (!topology.IsMonitor(this->self, member.info)) continue;
    const auto found = before.find(member.info.id);
    if (found != before.end()) {
      this->monitored.insert(*found);
    } else {
      this->Watch(now, topology, member);
    }
  }
}

void MemberMonitor::Watch(std::chrono::steady_clock::time_point now,
                          const ZoneTopology& topology,
                          const MemberAnnouncement& member) {
  if (!topology.IsMonitor(this->self, member.info)) return;
  const auto found = this->monitored.find(member.info.id);
  if (found == this->monitored.end()) {
    this->monitored[member.info.id] = Hearing{HeardOf(member), now, now, {}};
  } else {
    this->Refresh(now, NodeId(), HeardOf(member));
  }
}

void MemberMonitor::Forget(const MemberId& member) {
  this->monitored.erase(member);
}

void MemberMonitor::Refresh(std::chrono::steady_clock::time_point heard_at,
                            const NodeId& by, const MemberHeard& heard) {
  const auto found = this->monitored.find(heard.member);
  if (found == this->monitored.end()) return;
  Hearing& known = found->second;
  if (IsOlder(heard, known.heard)) return;
  const bool newer = IsOlder(known.heard, heard);
  known.heard = heard;
  known.by = by;
  // The same announcement heard twice proves no later life.
  if (newer && heard_at > known.at) known.at = heard_at;
}

void MemberMonitor::OnAnnounced(std::chrono::steady_clock::time_point now,
                                const ZoneTopology& topology,
                                const MemberAnnouncement& announcement) {
  const MemberHeard heard = HeardOf(announcement);
  const auto found = this->own.find(heard.member);
  if (found != this->own.end() && !IsOlder(found->second.heard, heard)) return;
  this->own[heard.member] = Hearing{heard, now, now, {}};
  const NodeId monitor = topology.MonitorOf(announcement.info);
  if (monitor == this->self) {
    this->Refresh(now, NodeId(), heard);
  } else if (!monitor.Empty()) {
    this->hooks.send(monitor, heard);
  }
}

void MemberMonitor::OnHeard(std::chrono::steady_clock::time_point now,
                            const NodeId& from, const MemberHeard& heard) {
  this->Refresh(now - heard.age, from, heard);
}

void MemberMonitor::OnInquiry(std::chrono::steady_clock::time_point now,
                              const NodeId& from,
                              const MemberInquiry& inquiry) {
  const MemberHeard* heard = this->HeardLately(now, inquiry.member);
  if (heard == nullptr) return;
  MemberHeard answer = *heard;
  answer.age = std::chrono::duration_cast<milliseconds>(
      now - this->own.at(inquiry.member).at);
  this->hooks.send(from, answer);
}

const MemberHeard* MemberMonitor::HeardLately(
    std::chrono::steady_clock::time_point now, const MemberId& member) const {
  const auto found = this->own.find(member);
  if (found == this->own.end()) return nullptr;
  return now - found->second.at < kLostAfter ? &found->second.heard : nullptr;
}

void MemberMonitor::Ask(const ZoneTopology& topology, const Hearing& hearing) {
  const MemberInquiry inquiry{hearing.heard.member};
  const NodeState* own_state = topology.Find(this->self);
  if (own_state == nullptr) return;
  bool asked_hearer = hearing.by.Empty();
  for (const NodeId& peer : topology.NodesOf(own_state->info.zone)) {
    if (topology.Find(peer)->role != NodeRole::kProxy) continue;
    if (peer != this->self) this->hooks.send(peer, inquiry);
    if (peer == hearing.by) asked_hearer = true;
  }
  if (!asked_hearer) this->hooks.send(hearing.by, inquiry);
}

void MemberMonitor::OnTick(std::chrono::steady_clock::time_point now,
                           const ZoneTopology& topology) {
  std::vector<MemberHeard> lost;
  for (auto& entry : this->monitored) {
    Hearing& hearing = entry.second;
    const auto silence = now - hearing.at;
    if (silence >= kLostAfter) {
      lost.push_back(hearing.heard);
    } else if (silence >= kAskAfter && now - hearing.asked >= kAskInterval) {
      hearing.asked = now;
      this->Ask(topology, hearing);
    }
  }
  for (const MemberHeard& last : lost) {
    this->monitored.erase(last.member);
    this->hooks.lost(now, last);
  }
  for (auto it = this->own.begin(); it != this->own.end();) {
    const bool old = now - it->second.at >= kLostAfter;
    it = old ? this->own.erase(it) : std::next(it);
  }
}

void MemberMonitor::Forgive(std::chrono::steady_clock::duration pause) {
  for (auto& entry : this->monitored) entry.second.at += pause;
  for (auto& entry : this->own) entry.second.at += pause;
}

}  // namespace lacewingferry
