#include "lacewingferry/decisions/timeline/failover_phases.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lacewingferry {
namespace {

/** The times of one failover's events, as far as they are known. */
struct PhaseTimes {
  std::string database;
  std::string term;
  HybridTime begun;
  std::optional<HybridTime> suspected;
  std::optional<HybridTime> chosen;
  std::optional<HybridTime> confirmed;
  std::optional<HybridTime> routed;
};

std::optional<std::chrono::microseconds> ElapsedBetween(
    const std::optional<HybridTime>& from,
    const std::optional<HybridTime>& to) {
  if (!from || !to) {
    return std::nullopt;
  }
  return std::max(*to - *from, std::chrono::microseconds(0));
}

Failover ToFailover(const PhaseTimes& times) {
  Failover failover;
  failover.database = times.database;
  failover.term = times.term;
  failover.begun_at = times.begun;
  failover.detection = ElapsedBetween(times.suspected, times.begun);
  failover.lease = ElapsedBetween(times.begun, times.chosen);
  failover.promotion = ElapsedBetween(times.chosen, times.confirmed);
  failover.rerouting = ElapsedBetween(times.confirmed, times.routed);
  return failover;
}

/** Collects the times of all failovers in a timeline. */
class FailoverFinder {
 public:
  void Add(const TimelineEntry& entry) {
    const auto code = static_cast<EventCode>(entry.number);
    if (code == EventCode::kPrimarySuspected) {
      this->suspicions[entry.Field("database")] = entry.time;
    } else if (code == EventCode::kTermBegun) {
      this->AddTerm(entry);
    } else if (PhaseTimes* times = this->Find(entry)) {
      SetPhaseTime(code, entry.time, times);
    }
  }

  std::vector<Failover> Failovers() const {
    std::vector<Failover> failovers;
    failovers.reserve(this->failover_times.size());
    for (const PhaseTimes& times : this->failover_times) {
      failovers.push_back(ToFailover(times));
    }
    return failovers;
  }

 private:
  /** Adds a failover. Its suspicion is the last one of the database since the
   * database's previous failover. */
  void AddTerm(const TimelineEntry& entry) {
    PhaseTimes times;
    times.database = entry.Field("database");
    times.term = entry.Field("term");
    times.begun = entry.time;
    const auto suspicion = this->suspicions.find(times.database);
    if (suspicion != this->suspicions.end()) {
      times.suspected = suspicion->second;
      this->suspicions.erase(suspicion);
    }
    this->failover_times.push_back(std::move(times));
  }

  PhaseTimes* Find(const TimelineEntry& entry) {
    const auto match =
        std::find_if(this->failover_times.rbegin(), this->failover_times.rend(),
                     [&](const PhaseTimes& times) {
                       return times.database == entry.Field("database") &&
                              times.term == entry.Field("term");
                     });
    return match == this->failover_times.rend() ? nullptr : &*match;
  }

  /** Keeps the last of several kPrimaryRouted events, and the first of several
   * events of another kind. */
  static void SetPhaseTime(EventCode code, HybridTime time, PhaseTimes* times) {
    if (code == EventCode::kPrimaryChosen) {
      times->chosen = times->chosen.value_or(time);
    } else if (code == EventCode::kPrimaryConfirmed) {
      times->confirmed = times->confirmed.value_or(time);
    } else if (code == EventCode::kPrimaryRouted) {
      times->routed = time;
    }
  }

  /** When each database's primary was last suspected, if that was after the
   * database's last failover. */
  std::map<std::string, HybridTime> suspicions;
  std::vector<PhaseTimes> failover_times;
};

}  // namespace

std::vector<Failover> FindFailovers(const std::vector<TimelineEntry>& merged) {
  FailoverFinder finder;
  for (const TimelineEntry& entry : merged) {
    finder.Add(entry);
  }
  return finder.Failovers();
}

}  // namespace lacewingferry
