#include "bench/model/history_checker.h"

#include <algorithm>
#include <set>

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;

/** Keys with this beginning belong to the system and not to a caller. */
constexpr char kSystemPrefix[] = "ferry_requests";

bool IsSystemKey(const std::string& key) {
  return key.rfind(kSystemPrefix, 0) == 0;
}

std::string OwnerOf(const std::string& key) {
  return key.substr(0, key.find('/'));
}

/** How many log entries set each key. */
std::map<std::string, std::size_t> CountKeys(const History& history) {
  std::map<std::string, std::size_t> counts;
  for (const auto& entry : history.log) {
    for (const auto& put : entry) {
      if (!IsSystemKey(put.first)) ++counts[put.first];
    }
  }
  return counts;
}

void CheckEntries(const History& history, std::vector<Violation>& found) {
  for (const auto& entry : history.log) {
    std::set<std::string> owners;
    for (const auto& put : entry) {
      if (!IsSystemKey(put.first)) owners.insert(OwnerOf(put.first));
    }
    if (owners.size() > 1) {
      found.push_back({Promise::kTransactionsDontMix,
                       *owners.begin() + " and " + *owners.rbegin() +
                           " were committed together"});
    }
  }
}

/** The first commit of a work has to hold all that its caller sent. */
void CheckWork(const HistoryWork& work,
               const std::map<std::string, std::size_t>& counts,
               std::vector<Violation>& found) {
  std::size_t most = 0;
  std::size_t present = 0;
  for (const std::string& key : work.keys) {
    const auto count = counts.find(key);
    if (count == counts.end()) continue;
    ++present;
    most = std::max(most, count->second);
  }
  if (most > 1) {
    found.push_back({Promise::kAtMostOnce,
                     work.name + " ran " + std::to_string(most) + " times"});
  }
  if (present > 0 && present < work.keys.size()) {
    found.push_back(
        {Promise::kTransactionsDontMix, work.name + " is there in part"});
  }
  if (work.told == Told::kAnswered && present < work.keys.size()) {
    found.push_back({Promise::kAcknowledgedSurvives,
                     work.name + " was acknowledged and is lost"});
  }
  const bool refused = work.told == Told::kNotRun || work.told == Told::kFailed;
  if (refused && present > 0) {
    found.push_back(
        {Promise::kNotRunIsTrue, work.name + " was told not run and is there"});
  }
}

void CheckAnswerTime(const History& history, const HistoryWork& work,
                     std::vector<Violation>& found) {
  if (work.told != Told::kAnswered) return;
  const auto next = history.promoted_at.upper_bound(work.term);
  if (next == history.promoted_at.end()) return;
  if (work.told_at <= next->second) return;
  found.push_back({Promise::kNoAnswerByReplaced,
                   work.name + " was acknowledged in term " +
                       std::to_string(work.term) + " after term " +
                       std::to_string(next->first) + " had begun"});
}

void CheckReads(const History& history,
                const std::map<std::string, std::size_t>& counts,
                std::vector<Violation>& found) {
  for (const HistoryRead& read : history.reads) {
    if (!read.value) continue;
    if (*read.value != ValueOf(read.key)) {
      found.push_back({Promise::kAnswerIsWhole,
                       "a read of " + read.key + " gave " + *read.value});
    }
    if (!read.by_replica && counts.count(read.key) == 0) {
      found.push_back({Promise::kReadsDontVanish,
                       "a read saw " + read.key + ", which is lost"});
    }
  }
}

/** Whether a read must see a key that a work has set. */
std::optional<Promise> Owed(const HistoryWork& work, const HistoryRead& read) {
  if (work.told != Told::kAnswered) return std::nullopt;
  const bool own = !read.session.empty() && read.session == work.session;
  if (own && work.told_at < read.sent_at) return Promise::kReadYourWrites;
  if (read.by_replica && !read.max_age) return std::nullopt;
  const auto age = read.by_replica ? *read.max_age : milliseconds(0);
  if (work.told_at < read.sent_at - age) return Promise::kStatedAge;
  return std::nullopt;
}

void CheckMissedWrites(const History& history, std::vector<Violation>& found) {
  std::map<std::string, const HistoryWork*> by_key;
  for (const HistoryWork& work : history.works) {
    for (const std::string& key : work.keys) by_key[key] = &work;
  }
  for (const HistoryRead& read : history.reads) {
    const auto work = by_key.find(read.key);
    if (read.value || work == by_key.end()) continue;
    const auto owed = Owed(*work->second, read);
    if (!owed) continue;
    found.push_back(
        {*owed, "a read of " + read.key + " missed what was acknowledged"});
  }
}

void CheckLeavings(const History& history, std::vector<Violation>& found) {
  for (const HistoryLeaving& leaving : history.leavings) {
    const auto late = std::find_if(
        history.uses.begin(), history.uses.end(), [&](const HistoryUse& use) {
          return use.member == leaving.member &&
                 use.at > leaving.announced_at + kLongestLeaving;
        });
    if (late == history.uses.end()) continue;
    found.push_back({Promise::kNoWorkForLeaving,
                     leaving.member + " got work long after it left"});
  }
}

void CheckStops(const History& history, std::vector<Violation>& found) {
  if (history.planned_stops == 0) return;
  for (const HistoryWork& work : history.works) {
    if (work.told != Told::kNothing && work.told != Told::kUnknown) continue;
    found.push_back(
        {Promise::kPlannedStopCutsNothing, work.name + " was cut by a stop"});
  }
}

void CheckReverts(const History& history, std::vector<Violation>& found) {
  for (const auto& node : history.in_force) {
    std::uint64_t highest = 0;
    for (const HistoryRevision& taken : node.second) {
      if (taken.revision < highest) {
        found.push_back({Promise::kConfigurationHolds,
                         node.first + " went back from revision " +
                             std::to_string(highest) + " to " +
                             std::to_string(taken.revision)});
      }
      highest = std::max(highest, taken.revision);
    }
  }
}

void CheckSpread(const History& history, std::vector<Violation>& found) {
  for (const HistoryRevision& accepted : history.accepted) {
    const auto due = accepted.at + kLongestSpread;
    if (due > history.ended_at) continue;
    for (const auto& node : history.in_force) {
      const bool in_time = std::any_of(
          node.second.begin(), node.second.end(),
          [&](const HistoryRevision& taken) {
            return taken.revision >= accepted.revision && taken.at <= due;
          });
      if (in_time) continue;
      found.push_back({Promise::kConfigurationHolds,
                       node.first + " hasn't revision " +
                           std::to_string(accepted.revision) + " in time"});
    }
  }
}

}  // namespace

std::string PromiseName(Promise promise) {
  switch (promise) {
    case Promise::kReadYourWrites:
      return "read your writes";
    case Promise::kNoAnswerByReplaced:
      return "no acknowledgement by a replaced primary";
    case Promise::kTransactionsDontMix:
      return "transactions never mix";
    case Promise::kAnswerIsWhole:
      return "the whole answer to one's own request";
    case Promise::kNotRunIsTrue:
      return "not run is true";
    case Promise::kAtMostOnce:
      return "at most once";
    case Promise::kNoWorkForLeaving:
      return "no new work for a member that leaves";
    case Promise::kPlannedStopCutsNothing:
      return "a planned stop cuts nothing";
    case Promise::kConfigurationHolds:
      return "a configuration is in force and never reverts";
    case Promise::kAcknowledgedSurvives:
      return "acknowledged writes survive";
    case Promise::kReadsDontVanish:
      return "what was read doesn't vanish";
    case Promise::kStatedAge:
      return "no older than stated";
    case Promise::kSlots:
      break;
  }
  return "no more connections than slots";
}

std::string ValueOf(const std::string& key) { return "value of " + key; }

std::vector<Violation> CheckHistory(const History& history) {
  std::vector<Violation> found;
  const auto counts = CountKeys(history);
  CheckEntries(history, found);
  for (const HistoryWork& work : history.works) {
    CheckWork(work, counts, found);
    CheckAnswerTime(history, work, found);
  }
  CheckReads(history, counts, found);
  CheckMissedWrites(history, found);
  CheckLeavings(history, found);
  CheckStops(history, found);
  CheckReverts(history, found);
  CheckSpread(history, found);
  if (history.turned_away > 0) {
    found.push_back(
        {Promise::kSlots, std::to_string(history.turned_away) +
                              " connections exceeded a member's slots"});
  }
  return found;
}

}  // namespace lacewingferry::model
