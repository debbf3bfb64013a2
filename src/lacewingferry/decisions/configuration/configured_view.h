#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURED_VIEW_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURED_VIEW_H_

// Defines ApplyConfiguration, which applies the configuration in force to a
// routing view.

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/**
 * Applies the configuration to a view that was built from announcements: only
 * databases of groups in force stay in the view, with the group's size and its
 * staleness rule. Before the first release note, every announced database
 * stays.
 */
void ApplyConfiguration(const ConfigurationInForce& configuration,
                        RoutingView& view);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURED_VIEW_H_
