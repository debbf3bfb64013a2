#include "lacewingferry/decisions/switchover/successor_choice.h"

#include <algorithm>
#include <tuple>

namespace lacewingferry {
namespace {

bool Preferred(const PausedReplica& a, const PausedReplica& b,
               const AvailabilityZone& zone) {
  const bool a_far = a.zone != zone;
  const bool b_far = b.zone != zone;
  return std::tie(a.leaving, a_far, a.id) < std::tie(b.leaving, b_far, b.id);
}

/** The position that a successor has to have; none while it isn't known. */
std::optional<LogPosition> Needed(const SuccessionEvidence& evidence) {
  if (evidence.former_position) {
    return std::max(*evidence.former_position, evidence.acknowledged);
  }
  if (!evidence.missing.empty()) return std::nullopt;
  LogPosition newest = evidence.waited ? LogPosition() : evidence.acknowledged;
  for (const PausedReplica& replica : evidence.paused) {
    newest = std::max(newest, replica.received);
  }
  return newest;
}

}  // namespace

std::optional<PausedReplica> ChooseSuccessor(
    const SuccessionEvidence& evidence) {
  const auto needed = Needed(evidence);
  if (!needed) return std::nullopt;
  std::optional<PausedReplica> best;
  for (const PausedReplica& replica : evidence.paused) {
    if (replica.received < *needed) continue;
    if (!best || Preferred(replica, *best, evidence.former_zone)) {
      best = replica;
    }
  }
  return best;
}

}  // namespace lacewingferry
