#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_MERGE_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_MERGE_H_

// Defines MergeFleet, which applies a fleet update to a proxy's copy of the
// fleet state.

#include "lacewingferry/core/messages/fleet_messages.h"

namespace lacewingferry {

/** Applies a full state (base 0) or a delta to `fleet`. Returns false and
 * changes nothing if the update is not newer than `fleet`, or if it is a delta
 * against a revision that the proxy has not reached. */
bool MergeFleet(const FleetState& update, FleetState* fleet);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_MERGE_H_
