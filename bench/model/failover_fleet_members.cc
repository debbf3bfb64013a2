#include "bench/model/failover_fleet.h"

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnnouncementInterval{500};

}  // namespace

MemberInfo FailoverFleet::NewMember(std::size_t zone) {
  MemberInfo info;
  info.id = MemberId("member-" + std::to_string(this->next_member++));
  info.database = DatabaseId(kDatabase);
  info.group = GroupId("group");
  info.zone = this->options.places.zones[zone];
  info.slots = this->options.places.slots;
  return info;
}

MemberInfo FailoverFleet::AddStranger(std::size_t zone) {
  MemberInfo info = this->NewMember(zone);
  this->group.AddMember(info);
  this->FollowPrimary(info.id);
  return info;
}

void FailoverFleet::FollowPrimary(const MemberId& member) {
  if (!this->entry.primary.Empty()) {
    this->group.Follow(member, this->entry.term, this->entry.primary);
    return;
  }
  this->queue.After(kAnnouncementInterval,
                    [this, member] { this->FollowPrimary(member); });
}

void FailoverFleet::ReplaceMember(std::size_t zone) {
  this->members[zone] = this->AddStranger(zone);
  for (auto& proxy : this->proxies) {
    this->PublishView(*proxy);
    this->Arm(*proxy);
  }
}

void FailoverFleet::AnnounceMembers() {
  for (const MemberInfo& info : this->members) {
    const FakeMember& member = this->group.Member(info.id);
    if (!member.alive || this->group.Stalled(info.id)) continue;
    const MemberAnnouncement announcement =
        member.Announcement(this->next_announcement++);
    for (std::size_t i = 0; i < FailoverControl::kReplicas; ++i) {
      this->network.Deliver(info.zone, this->options.places.zones[i],
                            [this, i, announcement] {
                              this->control->Announce(i, announcement);
                            });
    }
  }
  this->queue.After(kAnnouncementInterval, [this] { this->AnnounceMembers(); });
}

}  // namespace lacewingferry::model
