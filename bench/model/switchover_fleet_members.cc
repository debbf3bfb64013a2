// The members of SwitchoverFleet: what they announce, how they end and how they
// come back.

#include <algorithm>
#include <string>
#include <utility>

#include "bench/model/switchover_fleet.h"

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{1200};

}  // namespace

void SwitchoverFleet::Announce(const MemberId& id, bool leaving) {
  this->SendAnnouncement(id, leaving);
  this->Run(kSwitchoverCommitTime);
}

MemberAnnouncement SwitchoverFleet::AnnouncementOf(const MemberId& id) const {
  const SwitchoverMember& member = this->members.at(id);
  MemberAnnouncement announcement;
  announcement.info.id = id;
  announcement.info.database = kSwitchoverDatabase;
  announcement.info.zone = AvailabilityZone("zone-" + member.host);
  announcement.info.endpoint = {member.host, 5000};
  announcement.incarnation = member.run;
  return announcement;
}

void SwitchoverFleet::Deliver(const MemberAnnouncement& entry) {
  this->control->OnAnnouncement(this->queue.Now(), entry,
                                [this](AnnouncementResult verdict) {
                                  this->verdicts.push_back(verdict);
                                });
}

void SwitchoverFleet::SendAnnouncement(const MemberId& id, bool leaving) {
  MemberAnnouncement announcement = this->AnnouncementOf(id);
  announcement.info.leaving = leaving;
  announcement.sequence = ++this->sequences[id];
  // While there is a primary, any process of control takes what isn't news.
  const bool choosing =
      this->Term() != nullptr && this->Term()->phase == TermPhase::kElecting;
  if (!choosing && !this->state.CurrentRoster().WouldChange(announcement))
    return;
  this->control->OnAnnouncement(this->queue.Now(), announcement,
                                [](AnnouncementResult) {});
}

/** Has each member that runs and reaches control announce itself. */
void SwitchoverFleet::SendHeartbeats() {
  this->queue.After(kHeartbeatInterval, [this] { this->SendHeartbeats(); });
  for (const auto& [id, member] : this->members) {
    const MemberAnnouncement* known = this->state.CurrentRoster().Find(id);
    const bool leaving = known != nullptr && known->info.leaving;
    if (member.reachable) this->SendAnnouncement(id, leaving);
  }
}

void SwitchoverFleet::Crash(const MemberId& id) {
  SwitchoverMember& member = this->members.at(id);
  member.alive = false;
  member.reachable = false;
  member.receives = false;
}

MemberId SwitchoverFleet::NewId(const std::string& host) {
  return MemberId(host + "r" + std::to_string(this->last_run));
}

MemberId SwitchoverFleet::Restart(const MemberId& id,
                                  const SwitchoverRestart& restart) {
  SwitchoverMember member = this->members.at(id);
  const std::uint64_t newest_term =
      std::max_element(this->members.begin(), this->members.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.term < b.second.term;
                       })
          ->second.term;
  member.run = ++this->last_run;
  member.alive = true;
  member.reachable = !restart.behind_a_cut;
  member.receives = true;
  member.paused_term = 0;
  member.primary =
      member.primary && restart.keeps_log && member.term == newest_term;
  if (!restart.keeps_log) member.received = LogPosition{};
  MemberId next = restart.new_id ? this->NewId(member.host) : id;
  this->members.erase(id);
  this->members[next] = member;
  this->sequences.erase(next);
  if (!restart.behind_a_cut) this->SendAnnouncement(next, false);
  return next;
}

void SwitchoverFleet::SayFarewell(const MemberId& id) {
  this->Deliver(MemberFarewell{id, this->members.at(id).run});
}

void SwitchoverFleet::Deliver(const MemberFarewell& farewell) {
  this->control->OnDeregistration(this->queue.Now(), farewell,
                                  [this](AnnouncementResult verdict) {
                                    this->verdicts.push_back(verdict);
                                  });
}

void SwitchoverFleet::Leave(const MemberId& id) {
  this->SayFarewell(id);
  this->Crash(id);
}

MemberId SwitchoverFleet::Join() {
  ++this->last_run;
  const std::string host = "n" + std::to_string(this->last_run);
  SwitchoverMember member;
  member.host = host;
  member.run = this->last_run;
  member.received = LogPosition{};
  MemberId id(host);
  this->members[id] = member;
  this->SendAnnouncement(id, false);
  return id;
}

}  // namespace lacewingferry::model
