#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_VIEW_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_VIEW_H_

// Defines GatewayView, the immutable picture of routes, members and terms that
// a proxy's control thread publishes to its traffic thread.

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "lacewingferry/core/messages/fleet_messages.h"
#include "lacewingferry/core/service_configuration.h"

namespace lacewingferry {

/** One group of members as the traffic thread sees it. */
struct GroupView {
  DatabaseId database;
  /** The term and its primary; term 0 before the group was adopted. */
  DatabaseTerm term;
  std::vector<MemberInfo> members;
  /** The connections that this proxy may hold to each member. */
  std::uint32_t connections = 1;
};

/** The routes and groups at one moment. */
struct GatewayView {
  ServiceConfiguration configuration;
  std::map<DatabaseId, GroupView> groups;
};

using GatewayViewPtr = std::shared_ptr<const GatewayView>;

/** Puts a view together; proxies is how many share the connections. */
GatewayViewPtr MakeGatewayView(const FleetState& fleet,
                               const ServiceConfiguration& configuration,
                               std::uint32_t proxies);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_VIEW_H_
