#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_CHOICE_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_CHOICE_H_

// Defines the choice of a group's next primary, with the proof that it holds
// every commit that was acknowledged.

#include <optional>
#include <set>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** A replica that receives nothing more from the primary before. */
struct PausedReplica {
  MemberId id;
  AvailabilityZone zone;
  LogPosition received;
  /** Whether the member asked for no new work. */
  bool leaving = false;
};

/** What is known when the leases on the term before have ended. */
struct SuccessionEvidence {
  std::vector<PausedReplica> paused;
  /** The replicas of the group that didn't answer. */
  std::set<MemberId> missing;
  /** The former primary's position, if it answered after the leases ended. */
  std::optional<LogPosition> former_position;
  AvailabilityZone former_zone;
  /** The newest position that proxies saw with something they acknowledged;
   * it may lie beyond what was acknowledged. */
  LogPosition acknowledged;
  /** Whether that position was waited for long enough. */
  bool waited = false;
};

/**
 * Chooses a replica that holds every commit that was acknowledged, or none
 * while that isn't proved of any. Before a commit was acknowledged the primary
 * and one replica at the least had received it. So a replica has all of them
 * if it reaches the former primary's own position, or the newest of all
 * replicas when none is missing. A position that proxies saw is waited for
 * besides, since a replica may have lost its log.
 *
 * Of several, one that stays, then one in the former primary's zone, then the
 * first by name.
 */
std::optional<PausedReplica> ChooseSuccessor(
    const SuccessionEvidence& evidence);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_CHOICE_H_
