#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_CHOICE_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_CHOICE_H_

// Defines the choice of a primary among fenced members.

#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** A member that refuses all lower terms, and the end of its log after the
 * fence. */
struct FencedMember {
  MemberId id;
  AvailabilityZone zone;
  LogPosition position;
};

/** Chooses the member with the highest position. Of equal ones it prefers one
 * that was not the former primary, then one of the former primary's region,
 * then the lowest identifier. Members must not be empty. */
const FencedMember& ChooseAmongFenced(const std::vector<FencedMember>& members,
                                      const MemberId& former_primary,
                                      const AvailabilityZone& former_zone);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_CHOICE_H_
