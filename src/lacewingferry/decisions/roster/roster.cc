#include "lacewingferry/decisions/roster/roster.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <variant>

namespace lacewingferry {
namespace {

/** The fields of an announcement that make it a change if they differ. The
 * sequence isn't one of them. */
auto ComparedFields(const MemberAnnouncement& announcement) {
  const MemberInfo& info = announcement.info;
  return std::tie(info.database, info.zone, info.endpoint.host,
                  info.endpoint.port, info.slots, info.leaving,
                  announcement.incarnation);
}

bool SameAddress(const MemberAnnouncement& a, const MemberAnnouncement& b) {
  return a.info.endpoint == b.info.endpoint;
}

}  // namespace

const MemberAnnouncement* Roster::Find(const MemberId& member) const {
  const auto found = this->members.find(member);
  return found == this->members.end() ? nullptr : &found->second;
}

std::vector<MemberId> Roster::MembersOf(const DatabaseId& database) const {
  std::vector<MemberId> ids;
  for (const auto& [id, member] : this->members) {
    if (member.info.database == database) ids.push_back(id);
  }
  return ids;
}

bool Roster::WouldChange(const MemberAnnouncement& announcement) const {
  const MemberAnnouncement* known = this->Find(announcement.info.id);
  return known == nullptr ||
         ComparedFields(*known) != ComparedFields(announcement);
}

bool Roster::IsOutdated(const MemberAnnouncement& announcement) const {
  const auto departed = this->left.find(announcement.info.id);
  if (departed != this->left.end() &&
      announcement.incarnation <= departed->second) {
    return true;
  }
  return std::any_of(
      this->members.begin(), this->members.end(), [&](const auto& entry) {
        const MemberAnnouncement& known = entry.second;
        const bool related = entry.first == announcement.info.id ||
                             SameAddress(known, announcement);
        return related && known.incarnation > announcement.incarnation;
      });
}

std::vector<MemberAnnouncement> Roster::EndedBy(
    const RosterCommand& command) const {
  std::vector<MemberAnnouncement> ended;
  if (const auto* leave = std::get_if<LeaveMember>(&command.body)) {
    const MemberAnnouncement* known = this->Find(leave->member);
    if (known != nullptr && known->incarnation <= leave->incarnation) {
      ended.push_back(*known);
    }
    return ended;
  }
  const MemberAnnouncement& next = std::get<EnterMember>(command.body).member;
  if (this->IsOutdated(next)) return ended;
  for (const auto& [id, known] : this->members) {
    const bool same_id = id == next.info.id;
    const bool same_run = same_id && known.incarnation == next.incarnation &&
                          SameAddress(known, next);
    if (same_run || !(same_id || SameAddress(known, next))) continue;
    ended.push_back(known);
  }
  return ended;
}

bool Roster::Apply(const RosterCommand& command) {
  if (const auto* enter = std::get_if<EnterMember>(&command.body)) {
    return this->ApplyEnter(enter->member);
  }
  return this->ApplyLeave(std::get<LeaveMember>(command.body));
}

bool Roster::ApplyEnter(const MemberAnnouncement& announcement) {
  if (this->IsOutdated(announcement)) return false;
  const MemberAnnouncement* known = this->Find(announcement.info.id);
  if (known != nullptr && known->incarnation == announcement.incarnation &&
      known->sequence > announcement.sequence) {
    return false;
  }
  for (auto it = this->members.begin(); it != this->members.end();) {
    const bool displaced = it->first != announcement.info.id &&
                           SameAddress(it->second, announcement);
    it = displaced ? this->members.erase(it) : std::next(it);
  }
  this->members[announcement.info.id] = announcement;
  return true;
}

bool Roster::ApplyLeave(const LeaveMember& leave) {
  std::uint64_t& last_incarnation = this->left[leave.member];
  last_incarnation = std::max(last_incarnation, leave.incarnation);
  const auto found = this->members.find(leave.member);
  if (found == this->members.end()) return false;
  if (found->second.incarnation > leave.incarnation) return false;
  this->members.erase(found);
  return true;
}

}  // namespace lacewingferry
