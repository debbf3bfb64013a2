#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURED_VIEW_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURED_VIEW_H_

// Defines what the configuration in force changes in a routing view.

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/**
 * Puts the configuration into a view that was built from announcements: only
 * databases of groups in force are served, with the group's size and its
 * staleness rule. Before the first release note every announced database is
 * served.
 */
void ApplyConfiguration(const ConfigurationInForce& configuration,
                        RoutingView& view);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURED_VIEW_H_
