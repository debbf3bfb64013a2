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
#include "lacewingferry/decisions/ownership/connection_allocation.h"

namespace lacewingferry {

/** One group of members as the traffic thread sees it. */
struct GroupView {
  DatabaseId database;
  /** The term and its primary; term 0 before the group was adopted. */
  DatabaseTerm term;
  std::vector<MemberInfo> members;
  /** What this proxy may hold of the members' connections, and who serves the
   * group's sessions where it doesn't. */
  ConnectionAllocation deal;
};

/** The routes and groups at one moment. */
struct GatewayView {
  ServiceConfiguration configuration;
  std::map<DatabaseId, GroupView> groups;
};

using GatewayViewPtr = std::shared_ptr<const GatewayView>;

/** The proxies before the members, and which of them this one is. */
struct ProxyPlace {
  /** How many share the members' connections. */
  std::uint32_t proxies = 1;
  ZoneProxies zone;
  NodeId self;
};

/** Puts a view together. */
GatewayViewPtr MakeGatewayView(const FleetState& fleet,
                               const ServiceConfiguration& configuration,
                               const ProxyPlace& place);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_VIEW_H_
