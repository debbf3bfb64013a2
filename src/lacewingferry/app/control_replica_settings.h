#ifndef LACEWINGFERRY_APP_CONTROL_REPLICA_SETTINGS_H_
#define LACEWINGFERRY_APP_CONTROL_REPLICA_SETTINGS_H_

// Defines what a control process's settings mean for its parts: who the voters
// are, and the times of failovers.

#include "lacewingferry/app/control_replica.h"
#include "lacewingferry/core/settings.h"
#include "lacewingferry/decisions/failover/failover_manager.h"

namespace lacewingferry {

ControlReplicaSettings MakeReplicaSettings(const ControlSettings& settings);

FailoverSettings MakeFailoverSettings(const ControlSettings& settings);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_CONTROL_REPLICA_SETTINGS_H_
