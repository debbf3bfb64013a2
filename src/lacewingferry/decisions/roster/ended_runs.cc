#include "lacewingferry/decisions/roster/ended_runs.h"

#include <algorithm>

namespace lacewingferry {

const EndedRunsOfDatabase& EndedRuns::Of(const DatabaseId& database) const {
  static const EndedRunsOfDatabase kNone;
  const auto found = this->databases.find(database);
  return found == this->databases.end() ? kNone : found->second;
}

void EndedRuns::Add(const DatabaseId& database, const EndedRun& ended) {
  std::vector<EndedRun>& runs = this->databases[database].runs;
  const auto same_place = [&](const EndedRun& known) {
    return known.endpoint == ended.endpoint;
  };
  runs.erase(std::remove_if(runs.begin(), runs.end(), same_place), runs.end());
  runs.push_back(ended);
}

bool EndedRuns::Cover(const CoverEndedRuns& cover, const DatabaseTerm* entry) {
  const bool in_force = entry != nullptr && entry->term == cover.term &&
                        entry->phase == TermPhase::kSteady;
  if (!in_force) return false;
  EndedRunsOfDatabase& known = this->databases[cover.database];
  const auto covered = [&](const EndedRun& ended) {
    return std::find(cover.runs.begin(), cover.runs.end(), ended.run) !=
           cover.runs.end();
  };
  known.runs.erase(
      std::remove_if(known.runs.begin(), known.runs.end(), covered),
      known.runs.end());
  known.floor = std::max(known.floor, cover.position);
  return true;
}

void EndedRuns::OnPrimaryConfirmed(const DatabaseTerm& entry) {
  const auto found = this->databases.find(entry.database);
  if (found == this->databases.end()) return;
  found->second.runs.clear();
  found->second.floor = std::max(found->second.floor, entry.start);
}

}  // namespace lacewingferry
