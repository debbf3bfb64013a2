#include "lacewingferry/decisions/switchover/successor_choice.h"

#include <algorithm>
#include <tuple>

namespace lacewingferry {
namespace {

bool IsPreferred(const PausedReplica& a, const PausedReplica& b,
                 const AvailabilityZone& zone) {
  const bool a_remote = a.zone != zone;
  const bool b_remote = b.zone != zone;
  return std::tie(a.leaving, a_remote, a.id) <
         std::tie(b.leaving, b_remote, b.id);
}

/** The position that a successor must have reached; none while it is not
 * known. */
std::optional<LogPosition> RequiredPosition(const SuccessorChoiceInput& input) {
  if (input.former_position) {
    return std::max(*input.former_position, input.acknowledged);
  }
  if (!input.missing.empty()) return std::nullopt;
  LogPosition newest =
      input.acknowledged_wait_over ? LogPosition() : input.acknowledged;
  for (const PausedReplica& replica : input.paused) {
    newest = std::max(newest, replica.received);
  }
  return newest;
}

}  // namespace

std::optional<PausedReplica> ChooseSuccessor(
    const SuccessorChoiceInput& input) {
  const auto required = RequiredPosition(input);
  if (!required) return std::nullopt;
  std::optional<PausedReplica> best;
  for (const PausedReplica& replica : input.paused) {
    if (replica.received < *required) continue;
    if (!best || IsPreferred(replica, *best, input.former_zone)) {
      best = replica;
    }
  }
  return best;
}

}  // namespace lacewingferry
