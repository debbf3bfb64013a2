#include "lacewingferry/decisions/gateway/fleet_merge.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** Replaces the entry that a predicate finds, or adds one. */
template <typename Entry, typename Predicate>
void Put(std::vector<Entry>* entries, const Entry& entry, Predicate is_same) {
  const auto found = std::find_if(entries->begin(), entries->end(), is_same);
  if (found == entries->end()) {
    entries->push_back(entry);
  } else {
    *found = entry;
  }
}

void Remove(std::vector<MemberAnnouncement>* members, const MemberId& id) {
  members->erase(std::remove_if(members->begin(), members->end(),
                                [&](const MemberAnnouncement& member) {
                                  return member.info.id == id;
                                }),
                 members->end());
}

}  // namespace

bool MergeFleet(const FleetState& news, FleetState* fleet) {
  if (news.revision <= fleet->revision) return false;
  if (news.base > fleet->revision) return false;
  if (news.base == 0) {
    *fleet = news;
    return true;
  }
  fleet->revision = news.revision;
  for (const MemberAnnouncement& member : news.members) {
    Put(&fleet->members, member, [&](const MemberAnnouncement& known) {
      return known.info.id == member.info.id;
    });
  }
  for (const DatabaseTerm& term : news.databases) {
    Put(&fleet->databases, term, [&](const DatabaseTerm& known) {
      return known.database == term.database;
    });
  }
  for (const MemberId& id : news.gone) Remove(&fleet->members, id);
  return true;
}

}  // namespace lacewingferry
