#include "lacewingferry/decisions/gateway/gateway_view.h"

namespace lacewingferry {

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
  return view;
}

}  // namespace lacewingferry
