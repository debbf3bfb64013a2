#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_READ_ROUTING_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_READ_ROUTING_H_

// Defines the choice of the member that serves a request.

#include <set>

#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** Chooses the member for a request; nullptr when none can serve it. Members
 * in excluded were tried and can't. */
const RoutedMember* ChooseMember(const DatabaseView& view,
                                 const AvailabilityZone& own_zone,
                                 const StatementRequest& request,
                                 const std::set<MemberId>& excluded);

/** The entry of a member in a view; nullptr for one that isn't there. */
const RoutedMember* FindMember(const DatabaseView& view, const MemberId& id);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_READ_ROUTING_H_
