#ifndef LACEWINGFERRY_APP_FLEET_REPLICA_SETTINGS_H_
#define LACEWINGFERRY_APP_FLEET_REPLICA_SETTINGS_H_

// Defines MakeFleetReplicaSettings, the control log of a fleet of session
// proxies: its times, how many voters it has, and who founds it.

#include <vector>

#include "lacewingferry/app/control_replica.h"
#include "lacewingferry/core/fleet_settings.h"

namespace lacewingferry {

/** The processes of control that the settings name, but for this one. */
std::vector<NodeId> OtherControlNodes(const FleetNodeSettings& settings);

ControlReplicaSettings MakeFleetReplicaSettings(
    const FleetControlProgramSettings& settings);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_FLEET_REPLICA_SETTINGS_H_
