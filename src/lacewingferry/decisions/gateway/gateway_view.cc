#include "lacewingferry/decisions/gateway/gateway_view.h"

namespace lacewingferry {

void IndexCustomers(GatewayView* view) {
  const std::vector<Customer>& customers = view->configuration.customers;
  view->customers_by_key.clear();
  for (std::size_t i = 0; i < customers.size(); ++i) {
    for (const std::string& key : customers[i].keys) {
      view->customers_by_key[key] = i;
    }
  }
  for (auto& item : view->groups) item.second.by_customer = !customers.empty();
}

GatewayViewPtr MakeGatewayView(const FleetState& fleet,
                               const ServiceConfiguration& configuration,
                               const ProxyPeers& peers) {
  auto view = std::make_shared<GatewayView>();
  view->configuration = configuration;
  for (const ServiceRule& rule : configuration.services) {
    GroupView& group = view->groups[rule.database];
    group.database = rule.database;
    group.allocation =
        AllocateConnections(rule, peers.proxies, peers.zone, peers.self);
  }
  for (const DatabaseTerm& term : fleet.databases) {
    const auto found = view->groups.find(term.database);
    if (found != view->groups.end()) found->second.term = term;
  }
  for (const MemberAnnouncement& member : fleet.members) {
    const auto found = view->groups.find(member.info.database);
    if (found == view->groups.end()) continue;
    found->second.members.push_back(member.info);
  }
  IndexCustomers(view.get());
  return view;
}

}  // namespace lacewingferry
