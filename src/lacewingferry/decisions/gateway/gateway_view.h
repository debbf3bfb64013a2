#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_VIEW_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_VIEW_H_

// Defines GatewayView, the immutable snapshot of routes, members and terms that
// a proxy's control thread publishes to its traffic thread.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lacewingferry/core/messages/fleet_messages.h"
#include "lacewingferry/core/service_configuration.h"
#include "lacewingferry/decisions/ownership/connection_allocation.h"

namespace lacewingferry {

/** One group of members. */
struct GroupView {
  DatabaseId database;
  /** The current term and its primary; term 0 until control has adopted the
   * group. */
  DatabaseTerm term;
  std::vector<MemberInfo> members;
  /** How many connections to each member this proxy may hold, and which proxies
   * serve the group's sessions if this one does not. */
  ConnectionAllocation allocation;
  /** Whether connections are opened in customers' names. */
  bool by_customer = false;
};

/** A snapshot of the routes and groups. */
struct GatewayView {
  ServiceConfiguration configuration;
  std::map<DatabaseId, GroupView> groups;
  /** The place of each key's customer in the configuration; see
   * IndexCustomers. */
  std::unordered_map<std::string, std::size_t> customers_by_key;

  /** The customer that a key identifies; nullptr for an unknown key. */
  const Customer* FindCustomer(const std::string& key) const {
    const auto found = this->customers_by_key.find(key);
    return found == this->customers_by_key.end()
               ? nullptr
               : &this->configuration.customers[found->second];
  }
};

/** Fills in what follows from the configuration's customers. */
void IndexCustomers(GatewayView* view);

using GatewayViewPtr = std::shared_ptr<const GatewayView>;

/** The proxies of the fleet and the identifier of this one. */
struct ProxyPeers {
  /** The number of proxies that share the members' connections. */
  std::uint32_t proxies = 1;
  /** The proxies in this proxy's availability zone. */
  ZoneProxies zone;
  NodeId self;
};

/** Builds a view. Terms and members of databases without a service rule are
 * left out. */
GatewayViewPtr MakeGatewayView(const FleetState& fleet,
                               const ServiceConfiguration& configuration,
                               const ProxyPeers& peers);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_VIEW_H_
