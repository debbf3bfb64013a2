#include "lacewingferry/decisions/session/read_validation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lacewingferry {
namespace {

/** In a group of up to this size the primary and one replica are a majority. */
constexpr std::uint32_t kMaxGroupWithPairMajority = 3;

ReadValidation Refuse(RefusalCode code, std::string detail) {
  ReadValidation validation;
  validation.refusal = NotRun{code, std::move(detail)};
  return validation;
}

bool LacksSessionWrites(const ReadObservation& observation) {
  return observation.session_position &&
         observation.before.applied < *observation.session_position;
}

bool IsFreshEnough(const ReadObservation& observation) {
  if (!observation.max_age) return true;
  if (observation.age && *observation.age <= *observation.max_age) return true;
  return observation.fresh_position &&
         observation.before.applied >= *observation.fresh_position;
}

LogPosition AtLeastSessionPosition(const ReadObservation& observation,
                                   LogPosition position) {
  return std::max(position,
                  observation.session_position.value_or(LogPosition{}));
}

/** The replica's position, limited to what is known to be on a majority. A
 * majority position of another term proves nothing: the end of the replica's
 * log may not be part of that term's log. */
LogPosition LimitToMajority(const ReadObservation& observation) {
  const LogPosition& seen = observation.after.applied;
  if (observation.majority_position.term != seen.term) return {};
  return std::min(seen, observation.majority_position);
}

ReadValidation ValidateAtPrimary(const ReadObservation& observation) {
  const bool leads = observation.before.primary && observation.after.primary &&
                     observation.before.term == observation.view_term &&
                     observation.after.term == observation.view_term;
  if (!leads) {
    return Refuse(RefusalCode::kNoPrimary,
                  "the member is not the primary of this term");
  }
  if (LacksSessionWrites(observation)) {
    // If the session has seen a later term than the view's, the view is
    // outdated. Otherwise the primary of the session's term, or of a later one,
    // has lost what the session saw.
    if (observation.session_position->term > observation.view_term) {
      return Refuse(RefusalCode::kNoPrimary,
                    "the session has seen a later term than this proxy");
    }
    return Refuse(RefusalCode::kTermLost,
                  "the database no longer holds what the session has seen of "
                  "term " +
                      std::to_string(observation.session_position->term));
  }
  ReadValidation validation;
  validation.position =
      AtLeastSessionPosition(observation, observation.after.applied);
  validation.await_confirmation =
      observation.majority_position < observation.after.applied;
  return validation;
}

ReadValidation ValidateAtReplica(const ReadObservation& observation) {
  if (observation.before.primary || observation.after.primary) {
    return Refuse(RefusalCode::kNoReplicaFreshEnough,
                  "the member believes that it is the primary");
  }
  if (LacksSessionWrites(observation)) {
    return Refuse(RefusalCode::kNoReplicaFreshEnough,
                  "the member has not yet applied the session's writes");
  }
  if (!IsFreshEnough(observation)) {
    return Refuse(RefusalCode::kNoReplicaFreshEnough,
                  "the member's data is not proven to be of the stated age");
  }
  const LogPosition& seen = observation.after.applied;
  const bool on_majority = observation.counts_toward_majority &&
                           seen.term == observation.after.term &&
                           observation.group_size <= kMaxGroupWithPairMajority;
  ReadValidation validation;
  validation.position = AtLeastSessionPosition(
      observation, on_majority ? seen : LimitToMajority(observation));
  return validation;
}

}  // namespace

ReadValidation ValidateRead(const ReadObservation& observation) {
  return observation.primary ? ValidateAtPrimary(observation)
                             : ValidateAtReplica(observation);
}

}  // namespace lacewingferry
