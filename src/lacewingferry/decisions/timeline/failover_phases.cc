#include "lacewingferry/decisions/timeline/failover_phases.h"

#include <algorithm>

#include "lacewingferry/core/duration_text.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

/** The moments of one failover, as far as they are known. */
struct Moments {
  Failover failover;
  std::optional<HybridTime> leases_ended;
  std::optional<HybridTime> promoted;
  std::optional<HybridTime> routed;
};

std::optional<std::chrono::microseconds> ParseSilence(const std::string& text) {
  try {
    return ParseDuration(text);
  } catch (const UserError&) {
    return std::nullopt;
  }
}

Moments BeginFailover(const TimelineEntry& entry) {
  Moments moments;
  moments.failover.database = entry.Field("database");
  moments.failover.term = entry.Field("term");
  moments.failover.suspected_at = entry.time;
  moments.failover.detection = ParseSilence(entry.Field("silence"));
  return moments;
}

std::optional<std::chrono::microseconds> Between(
    const std::optional<HybridTime>& from,
    const std::optional<HybridTime>& until) {
  if (!from || !until) {
    return std::nullopt;
  }
  return std::max(*until - *from, std::chrono::microseconds(0));
}

Failover Finish(const Moments& moments) {
  Failover failover = moments.failover;
  failover.lease = Between(failover.suspected_at, moments.leases_ended);
  failover.promotion = Between(moments.leases_ended, moments.promoted);
  failover.rerouting = Between(moments.promoted, moments.routed);
  return failover;
}

/** Notes a moment of a failover; of several routings the last counts. */
void TakeMoment(const TimelineEntry& entry, Moments* moments) {
  switch (static_cast<EventCode>(entry.number)) {
    case EventCode::kLeasesEnded:
      moments->leases_ended = moments->leases_ended.value_or(entry.time);
      break;
    case EventCode::kPrimaryPromoted:
      moments->promoted = moments->promoted.value_or(entry.time);
      break;
    case EventCode::kPrimaryRouted:
      moments->routed = entry.time;
      break;
    default:
      break;
  }
}

}  // namespace

std::vector<Failover> FindFailovers(const std::vector<TimelineEntry>& merged) {
  std::vector<Moments> found;
  for (const TimelineEntry& entry : merged) {
    const auto same =
        std::find_if(found.rbegin(), found.rend(), [&](const Moments& moments) {
          return moments.failover.database == entry.Field("database") &&
                 moments.failover.term == entry.Field("term");
        });
    if (same != found.rend()) {
      TakeMoment(entry, &*same);
    } else if (static_cast<EventCode>(entry.number) ==
               EventCode::kPrimarySuspected) {
      found.push_back(BeginFailover(entry));
    }
  }
  std::vector<Failover> failovers;
  failovers.reserve(found.size());
  for (const Moments& moments : found) {
    failovers.push_back(Finish(moments));
  }
  return failovers;
}

}  // namespace lacewingferry
