#include "lacewingferry/decisions/membership/member_monitor.h"

#include <iterator>
#include <tuple>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

/** Two announcements are missing: members announce themselves every 500 ms. */
constexpr milliseconds kInquireAfter{1050};
constexpr milliseconds kInquiryInterval{100};
/** Three announcements are missing. */
constexpr milliseconds kLostAfter{1600};

bool IsOlder(const MemberHeard& a, const MemberHeard& b) {
  return std::tie(a.incarnation, a.sequence) <
         std::tie(b.incarnation, b.sequence);
}

MemberHeard MakeHeard(const MemberAnnouncement& announcement) {
  return MemberHeard{announcement.info.id, announcement.incarnation,
                     announcement.sequence, milliseconds(0)};
}

}  // namespace

MemberMonitor::MemberMonitor(NodeId self_id, MemberMonitorHooks monitor_hooks)
    : self(std::move(self_id)), hooks(std::move(monitor_hooks)) {}

void MemberMonitor::Rebuild(std::chrono::steady_clock::time_point now,
                            const ZoneTopology& topology,
                            const std::vector<MemberAnnouncement>& members) {
  std::map<MemberId, HeardState> previous = std::move(this->monitored);
  this->monitored.clear();
  for (const MemberAnnouncement& member : members) {
    if (!topology.IsMonitor(this->self, member.info)) continue;
    const auto found = previous.find(member.info.id);
    if (found != previous.end()) {
      this->monitored.insert(*found);
    } else {
      this->StartMonitoring(now, topology, member);
    }
  }
}

void MemberMonitor::StartMonitoring(std::chrono::steady_clock::time_point now,
                                    const ZoneTopology& topology,
                                    const MemberAnnouncement& member) {
  if (!topology.IsMonitor(this->self, member.info)) return;
  const auto found = this->monitored.find(member.info.id);
  if (found == this->monitored.end()) {
    this->monitored[member.info.id] =
        HeardState{MakeHeard(member), now, now, {}};
  } else {
    this->Refresh(now, NodeId(), MakeHeard(member));
  }
}

void MemberMonitor::StopMonitoring(const MemberId& member) {
  this->monitored.erase(member);
}

void MemberMonitor::Refresh(std::chrono::steady_clock::time_point heard_at,
                            const NodeId& reporter, const MemberHeard& heard) {
  const auto found = this->monitored.find(heard.member);
  if (found == this->monitored.end()) return;
  HeardState& known = found->second;
  if (IsOlder(heard, known.heard)) return;
  const bool newer = IsOlder(known.heard, heard);
  known.heard = heard;
  known.reporter = reporter;
  // A duplicate of an announcement does not show that the member is still
  // alive, so it does not advance the time.
  if (newer && heard_at > known.heard_at) known.heard_at = heard_at;
}

void MemberMonitor::OnAnnounced(std::chrono::steady_clock::time_point now,
                                const ZoneTopology& topology,
                                const MemberAnnouncement& announcement) {
  const MemberHeard heard = MakeHeard(announcement);
  const auto it = this->received.find(heard.member);
  if (it != this->received.end() && !IsOlder(it->second.heard, heard)) return;
  this->received[heard.member] = HeardState{heard, now, now, {}};
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
  const MemberHeard* heard = this->HeardRecently(now, inquiry.member);
  if (heard == nullptr) return;
  MemberHeard answer = *heard;
  answer.age = std::chrono::duration_cast<milliseconds>(
      now - this->received.at(inquiry.member).heard_at);
  this->hooks.send(from, answer);
}

const MemberHeard* MemberMonitor::HeardRecently(
    std::chrono::steady_clock::time_point now, const MemberId& member) const {
  const auto found = this->received.find(member);
  if (found == this->received.end()) return nullptr;
  return now - found->second.heard_at < kLostAfter ? &found->second.heard
                                                   : nullptr;
}

void MemberMonitor::SendInquiries(const ZoneTopology& topology,
                                  const HeardState& state) {
  const MemberInquiry inquiry{state.heard.member};
  const NodeState* self_node = topology.Find(this->self);
  if (self_node == nullptr) return;
  bool asked_reporter = state.reporter.Empty();
  for (const NodeId& peer : topology.NodesOf(self_node->info.zone)) {
    if (topology.Find(peer)->role != NodeRole::kProxy) continue;
    if (peer != this->self) this->hooks.send(peer, inquiry);
    if (peer == state.reporter) asked_reporter = true;
  }
  if (!asked_reporter) this->hooks.send(state.reporter, inquiry);
}

void MemberMonitor::OnTick(std::chrono::steady_clock::time_point now,
                           const ZoneTopology& topology) {
  std::vector<MemberHeard> lost;
  for (auto& entry : this->monitored) {
    HeardState& state = entry.second;
    const auto silence = now - state.heard_at;
    if (silence >= kLostAfter) {
      lost.push_back(state.heard);
    } else if (silence >= kInquireAfter &&
               now - state.last_inquiry >= kInquiryInterval) {
      state.last_inquiry = now;
      this->SendInquiries(topology, state);
    }
  }
  for (const MemberHeard& last : lost) {
    this->monitored.erase(last.member);
    this->hooks.lost(now, last);
  }
  for (auto it = this->received.begin(); it != this->received.end();) {
    const bool expired = now - it->second.heard_at >= kLostAfter;
    it = expired ? this->received.erase(it) : std::next(it);
  }
}

void MemberMonitor::ExcludePause(std::chrono::steady_clock::duration pause) {
  for (auto& entry : this->monitored) entry.second.heard_at += pause;
  for (auto& entry : this->received) entry.second.heard_at += pause;
}

}  // namespace lacewingferry
