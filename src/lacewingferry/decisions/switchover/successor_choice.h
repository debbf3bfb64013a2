#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_CHOICE_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_CHOICE_H_

// Defines ChooseSuccessor, which chooses a group's next primary and makes sure
// that it holds every acknowledged commit.

#include <optional>
#include <set>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** A replica that no longer receives from the former primary. */
struct PausedReplica {
  MemberId id;
  AvailabilityZone zone;
  LogPosition received;
  /** Whether the member is about to stop and asked for no new work. */
  bool leaving = false;
};

/** What is known once the leases on earlier terms have ended. */
struct SuccessorChoiceInput {
  std::vector<PausedReplica> paused;
  /** The replicas of the group that have not confirmed the pause. */
  std::set<MemberId> missing;
  /** The former primary's position, if it answered after the leases ended. */
  std::optional<LogPosition> former_position;
  AvailabilityZone former_zone;
  /** The newest position that proxies reported as acknowledged. It may count
   * commits that were not acknowledged. */
  LogPosition acknowledged;
  /** Whether the wait for a replica that holds that position is over. */
  bool acknowledged_wait_over = false;
};

/** A position that a successor must have reached, and what it was taken from.
 */
struct RequiredPosition {
  LogPosition position;
  /** former: the former primary's answer; replicas: the newest position of all
   * replicas; acknowledged: what proxies reported. */
  const char* source = "";
};

/** The position that a successor must have reached; none while it is not
 * known. */
std::optional<RequiredPosition> RequiredOf(const SuccessorChoiceInput& input);

/**
 * Chooses a replica that is known to hold every acknowledged commit; none while
 * that is not known of any.
 *
 * A commit is acknowledged only after the primary and at least one replica
 * received it. So a replica holds all acknowledged commits if it has reached
 * the former primary's position or, where that is not known, the newest
 * position among all replicas, provided that none of them is missing. A replica
 * may have lost its log, so the successor must also have reached the position
 * that proxies reported, until the wait for that position is over; where the
 * former primary's position is known, it must have reached both in any case.
 *
 * Among several candidates, prefers one that isn't leaving, then one in the
 * former primary's zone, then the first by identity.
 */
std::optional<PausedReplica> ChooseSuccessor(const SuccessorChoiceInput& input);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_CHOICE_H_
