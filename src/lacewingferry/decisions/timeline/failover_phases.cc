#include "lacewingferry/decisions/timeline/failover_phases.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lacewingferry {
namespace {

/** The moments of one failover, as far as they are known. */
struct Moments {
  std::string database;
  std::string term;
  HybridTime begun;
  std::optional<HybridTime> suspected;
  std::optional<HybridTime> chosen;
  std::optional<HybridTime> confirmed;
  std::optional<HybridTime> routed;
};

std::optional<std::chrono::microseconds> Between(
    const std::optional<HybridTime>& from,
    const std::optional<HybridTime>& until) {
  if (!from || !until) {
    return std::nullopt;
  }
  return std::max(*until - *from, std::chrono::microseconds(0));
}

Failover Measure(const Moments& moments) {
  Failover failover;
  failover.database = moments.database;
  failover.term = moments.term;
  failover.begun_at = moments.begun;
  failover.detection = Between(moments.suspected, moments.begun);
  failover.lease = Between(moments.begun, moments.chosen);
  failover.promotion = Between(moments.chosen, moments.confirmed);
  failover.rerouting = Between(moments.confirmed, moments.routed);
  return failover;
}

/** Collects the moments of all failovers of a time line. */
class FailoverCollector {
 public:
  void Take(const TimelineEntry& entry) {
    const auto code = static_cast<EventCode>(entry.number);
    if (code == EventCode::kPrimarySuspected) {
      this->suspicions[entry.Field("database")] = entry.time;
    } else if (code == EventCode::kTermBegun) {
      this->Begin(entry);
    } else if (Moments* moments = this->Find(entry)) {
      TakeMoment(code, entry.time, moments);
    }
  }

  std::vector<Failover> Measured() const {
    std::vector<Failover> failovers;
    failovers.reserve(this->found.size());
    for (const Moments& moments : this->found) {
      failovers.push_back(Measure(moments));
    }
    return failovers;
  }

 private:
  /** Begins a failover with the last suspicion since the one before. */
  void Begin(const TimelineEntry& entry) {
    Moments moments;
    moments.database = entry.Field("database");
    moments.term = entry.Field("term");
    moments.begun = entry.time;
    const auto suspicion = this->suspicions.find(moments.database);
    if (suspicion != this->suspicions.end()) {
      moments.suspected = suspicion->second;
      this->suspicions.erase(suspicion);
    }
    this->found.push_back(std::move(moments));
  }

  Moments* Find(const TimelineEntry& entry) {
    const auto same = std::find_if(
        this->found.rbegin(), this->found.rend(), [&](const Moments& moments) {
          return moments.database == entry.Field("database") &&
                 moments.term == entry.Field("term");
        });
    return same == this->found.rend() ? nullptr : &*same;
  }

  /** Of several routings the last counts, of the others the first. */
  static void TakeMoment(EventCode code, HybridTime time, Moments* moments) {
    if (code == EventCode::kPrimaryChosen) {
      moments->chosen = moments->chosen.value_or(time);
    } else if (code == EventCode::kPrimaryConfirmed) {
      moments->confirmed = moments->confirmed.value_or(time);
    } else if (code == EventCode::kPrimaryRouted) {
      moments->routed = time;
    }
  }

  /** The last suspicion of each database's primary. */
  std::map<std::string, HybridTime> suspicions;
  std::vector<Moments> found;
};

}  // namespace

std::vector<Failover> FindFailovers(const std::vector<TimelineEntry>& merged) {
  FailoverCollector collector;
  for (const TimelineEntry& entry : merged) {
    collector.Take(entry);
  }
  return collector.Measured();
}

}  // namespace lacewingferry
