#include "lacewingferry/decisions/membership/member_directory.h"

#include <tuple>
#include <utility>

#include "lacewingferry/decisions/membership/announcement_check.h"
#include "lacewingferry/decisions/ownership/slot_owners.h"

namespace lacewingferry {
namespace {

/** Three announcements or heartbeats missed in a row mean silence. */
constexpr std::chrono::milliseconds kMemberSilence{1600};
constexpr std::chrono::milliseconds kProxySilence{1200};

/** The primary of the highest term leads; its database's term is that. */
void CountPrimary(const MemberAnnouncement& announcement,
                  DatabaseView& database) {
  if (!announcement.primary || announcement.term < database.term) return;
  database.term = announcement.term;
  database.primary = announcement.info.id;
}

}  // namespace

MemberDirectory::MemberDirectory(ProxyInfo self_info)
    : self(std::move(self_info)) {}

bool MemberDirectory::Learn(std::chrono::steady_clock::time_point now,
                            const MemberAnnouncement& announcement) {
  auto found = this->members.find(announcement.info.id);
  if (found != this->members.end()) {
    const MemberAnnouncement& known = found->second.announcement;
    if (std::tie(announcement.incarnation, announcement.sequence) <=
        std::tie(known.incarnation, known.sequence)) {
      return false;
    }
  }
  this->members[announcement.info.id] = KnownMember{announcement, now};
  return true;
}

bool MemberDirectory::OnAnnouncement(std::chrono::steady_clock::time_point now,
                                     const MemberAnnouncement& announcement) {
  CheckAnnouncement(announcement);
  const bool fresh = this->Learn(now, announcement);
  if (fresh) this->outgoing.push_back(announcement);
  return fresh;
}

void MemberDirectory::OnUpdate(std::chrono::steady_clock::time_point now,
                               const MembershipUpdate& update) {
  if (update.sender.id == this->self.id) return;
  this->proxies[update.sender.id] = KnownProxy{update.sender, now};
  for (const MemberAnnouncement& announcement : update.announcements) {
    CheckAnnouncement(announcement);
    this->Learn(now, announcement);
  }
}

MembershipUpdate MemberDirectory::TakeUpdate() {
  MembershipUpdate update;
  update.sender = this->self;
  update.announcements = std::move(this->outgoing);
  this->outgoing.clear();
  return update;
}

std::vector<ProxyInfo> MemberDirectory::Peers() const {
  std::vector<ProxyInfo> peers;
  for (const auto& entry : this->proxies) peers.push_back(entry.second.info);
  return peers;
}

std::vector<MemberId> MemberDirectory::Expire(
    std::chrono::steady_clock::time_point now) {
  std::vector<MemberId> lost;
  for (auto it = this->members.begin(); it != this->members.end();) {
    if (now - it->second.heard > kMemberSilence) {
      lost.push_back(it->first);
      it = this->members.erase(it);
    } else {
      ++it;
    }
  }
  for (auto it = this->proxies.begin(); it != this->proxies.end();) {
    it = now - it->second.heard > kProxySilence ? this->proxies.erase(it)
                                                : std::next(it);
  }
  return lost;
}

RoutingView MemberDirectory::BuildView() const {
  RoutingView view;
  view.proxies = this->Peers();
  view.proxies.push_back(this->self);
  for (const auto& entry : this->members) {
    const MemberAnnouncement& announcement = entry.second.announcement;
    const MemberInfo& info = announcement.info;
    DatabaseView& database = view.databases[info.database];
    database.id = info.database;
    database.group = info.group;
    database.members.push_back(
        RoutedMember{info, AssignSlotOwners(info, view.proxies)});
    CountPrimary(announcement, database);
  }
  return view;
}

}  // namespace lacewingferry
