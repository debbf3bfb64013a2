#include "lacewingferry/decisions/switchover/fleet_changes.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** Members that left are remembered up to this number; a proxy that missed
 * more gets the whole state. */
constexpr std::size_t kMostGone = 512;

}  // namespace

void FleetChanges::Update(const Roster& roster,
                          const DatabaseTerms& database_terms,
                          std::uint64_t revision) {
  const bool first = this->newest == 0;
  this->newest = revision;
  if (first) this->known_from = revision;
  this->UpdateMembers(roster);
  this->UpdateTerms(database_terms);
  this->ForgetOldest();
}

void FleetChanges::UpdateMembers(const Roster& roster) {
  for (const auto& [id, entry] : roster.Members()) {
    Seen<MemberAnnouncement>& seen = this->members[id];
    const bool same = seen.changed != 0 &&
                      seen.entry.incarnation == entry.incarnation &&
                      seen.entry.sequence == entry.sequence;
    if (!same) seen = {entry, this->newest};
    this->gone.erase(id);
  }
  for (auto it = this->members.begin(); it != this->members.end();) {
    if (roster.Find(it->first) != nullptr) {
      ++it;
      continue;
    }
    this->gone[it->first] = this->newest;
    it = this->members.erase(it);
  }
}

void FleetChanges::UpdateTerms(const DatabaseTerms& database_terms) {
  for (const auto& [database, entry] : database_terms.Databases()) {
    Seen<DatabaseTerm>& seen = this->terms[database];
    const bool same =
        seen.changed != 0 && seen.entry.revision == entry.revision;
    if (!same) seen = {entry, this->newest};
  }
}

void FleetChanges::ForgetOldest() {
  while (this->gone.size() > kMostGone) {
    const auto oldest = std::min_element(
        this->gone.begin(), this->gone.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    this->known_from = std::max(this->known_from, oldest->second);
    this->gone.erase(oldest);
  }
}

FleetState FleetChanges::Since(std::uint64_t revision) const {
  FleetState state;
  state.revision = this->newest;
  state.base = revision < this->known_from ? 0 : revision;
  for (const auto& item : this->members) {
    if (item.second.changed > state.base) {
      state.members.push_back(item.second.entry);
    }
  }
  for (const auto& item : this->terms) {
    if (item.second.changed > state.base) {
      state.databases.push_back(item.second.entry);
    }
  }
  if (state.base == 0) return state;
  for (const auto& [id, left] : this->gone) {
    if (left > state.base) state.gone.push_back(id);
  }
  return state;
}

}  // namespace lacewingferry
