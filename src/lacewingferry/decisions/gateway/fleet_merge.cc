#include "lacewingferry/decisions/gateway/fleet_merge.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** Replaces the entry for which is_same is true, or adds one. */
template <typename Entry, typename Predicate>
void AddOrReplace(std::vector<Entry>* entries, const Entry& entry,
                  Predicate is_same) {
  const auto found = std::find_if(entries->begin(), entries->end(), is_same);
  if (found == entries->end()) {
    entries->push_back(entry);
  } else {
    *found = entry;
  }
}

void RemoveMember(std::vector<MemberAnnouncement>* members,
                  const MemberId& id) {
  members->erase(std::remove_if(members->begin(), members->end(),
                                [&](const MemberAnnouncement& member) {
                                  return member.info.id == id;
                                }),
                 members->end());
}

}  // namespace

bool MergeFleet(const FleetState& update, FleetState* fleet) {
  if (update.revision <= fleet->revision) return false;
  if (update.base > fleet->revision) return false;
  if (update.base == 0) {
    *fleet = update;
    return true;
  }
  fleet->revision = update.revision;
  for (const MemberAnnouncement& member : update.members) {
    AddOrReplace(&fleet->members, member, [&](const MemberAnnouncement& known) {
      return known.info.id == member.info.id;
    });
  }
  for (const DatabaseTerm& term : update.databases) {
    AddOrReplace(&fleet->databases, term, [&](const DatabaseTerm& known) {
      return known.database == term.database;
    });
  }
  for (const MemberId& id : update.gone) RemoveMember(&fleet->members, id);
  return true;
}

}  // namespace lacewingferry
