#include "bench/model/history_checker.h"

#include <algorithm>
#include <set>

namespace lacewingferry::model {
namespace {

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
    if (counts.count(read.key) == 0) {
      found.push_back({Promise::kReadsDontVanish,
                       "a read saw " + read.key + ", which is lost"});
    }
  }
}

}  // namespace

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
  if (history.turned_away > 0) {
    found.push_back(
        {Promise::kSlots, std::to_string(history.turned_away) +
                              " connections exceeded a member's slots"});
  }
  return found;
}

}  // namespace lacewingferry::model
