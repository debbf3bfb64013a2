#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_MERGE_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_MERGE_H_

// Defines MergeFleet, which brings a proxy's knowledge of the fleet up to date.

#include "lacewingferry/core/messages/fleet_messages.h"

namespace lacewingferry {

/** Takes a state, or what changed since one that the proxy knows. Returns
 * whether anything was taken: older news isn't, nor are changes since a state
 * that the proxy hasn't reached. */
bool MergeFleet(const FleetState& news, FleetState* fleet);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_MERGE_H_
