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

}  // namespace

std::optional<RequiredPosition> RequiredOf(const SuccessorChoiceInput& input) {
  RequiredPosition required{input.acknowledged, "acknowledged"};
  const auto raise = [&](const LogPosition& position, const char* source) {
    if (position >= required.position) required = {position, source};
  };
  if (input.former_position) {
    raise(*input.former_position, "former");
    return required;
  }
  if (!input.missing.empty()) return std::nullopt;
  if (input.acknowledged_wait_over) required = {LogPosition(), "replicas"};
  for (const PausedReplica& replica : input.paused) {
    raise(replica.received, "replicas");
  }
  return required;
}

std::optional<PausedReplica> ChooseSuccessor(
    const SuccessorChoiceInput& input) {
  const auto required = RequiredOf(input);
  if (!required) return std::nullopt;
  std::optional<PausedReplica> best;
  for (const PausedReplica& replica : input.paused) {
    if (replica.received < required->position) continue;
    if (!best || IsPreferred(replica, *best, input.former_zone)) {
      best = replica;
    }
  }
  return best;
}

}  // namespace lacewingferry
