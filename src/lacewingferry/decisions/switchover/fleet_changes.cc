#include "lacewingferry/decisions/switchover/fleet_changes.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** The most removed members that are recorded; a proxy that missed more gets
 * the whole state. */
constexpr std::size_t kMaxGoneMembers = 512;

}  // namespace

void FleetChanges::Update(const Roster& roster,
                          const DatabaseTerms& database_terms,
                          std::uint64_t revision) {
  const bool first = this->latest_revision == 0;
  this->latest_revision = revision;
  if (first) this->tracked_since = revision;
  this->UpdateMembers(roster);
  this->UpdateTerms(database_terms);
  this->DropOldestGone();
}

void FleetChanges::UpdateMembers(const Roster& roster) {
  for (const auto& [id, entry] : roster.Members()) {
    Tracked<MemberAnnouncement>& tracked = this->members[id];
    const bool unchanged = tracked.changed_revision != 0 &&
                           tracked.entry.incarnation == entry.incarnation &&
                           tracked.entry.sequence == entry.sequence;
    if (!unchanged) tracked = {entry, this->latest_revision};
    this->gone.erase(id);
  }
  for (auto it = this->members.begin(); it != this->members.end();) {
    if (roster.Find(it->first) != nullptr) {
      ++it;
      continue;
    }
    this->gone[it->first] = this->latest_revision;
    it = this->members.erase(it);
  }
}

void FleetChanges::UpdateTerms(const DatabaseTerms& database_terms) {
  for (const auto& [database, entry] : database_terms.Databases()) {
    Tracked<DatabaseTerm>& tracked = this->terms[database];
    const bool unchanged = tracked.changed_revision != 0 &&
                           tracked.entry.revision == entry.revision;
    if (!unchanged) tracked = {entry, this->latest_revision};
  }
}

void FleetChanges::DropOldestGone() {
  while (this->gone.size() > kMaxGoneMembers) {
    const auto oldest = std::min_element(
        this->gone.begin(), this->gone.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    this->tracked_since = std::max(this->tracked_since, oldest->second);
    this->gone.erase(oldest);
  }
}

FleetState FleetChanges::Since(std::uint64_t revision) const {
  FleetState state;
  state.revision = this->latest_revision;
  state.base = revision < this->tracked_since ? 0 : revision;
  for (const auto& item : this->members) {
    if (item.second.changed_revision > state.base) {
      state.members.push_back(item.second.entry);
    }
  }
  for (const auto& item : this->terms) {
    if (item.second.changed_revision > state.base) {
      state.databases.push_back(item.second.entry);
    }
  }
  if (state.base == 0) return state;
  for (const auto& [id, gone_revision] : this->gone) {
    if (gone_revision > state.base) state.gone.push_back(id);
  }
  return state;
}

}  // namespace lacewingferry
