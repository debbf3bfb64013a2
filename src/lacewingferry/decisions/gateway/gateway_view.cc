#include "lacewingferry/decisions/gateway/gateway_view.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** Of a member's connections the proxies share this part; the rest is for
 * control, for proxies that just came, and for connections of processes that
 * died and weren't noticed yet. */
constexpr std::uint32_t kSharedPercent = 85;
constexpr std::uint32_t kMostConnections = 8;

std::uint32_t ShareOf(const ServiceRule& rule, std::uint32_t proxies) {
  const std::uint32_t shared = rule.max_connections * kSharedPercent / 100;
  const std::uint32_t share = shared / std::max<std::uint32_t>(proxies, 1);
  return std::clamp<std::uint32_t>(share, 1, kMostConnections);
}

}  // namespace

GatewayViewPtr MakeGatewayView(const FleetState& fleet,
                               const ServiceConfiguration& configuration,
                               std::uint32_t proxies) {
  auto view = std::make_shared<GatewayView>();
  view->configuration = configuration;
  for (const ServiceRule& rule : configuration.services) {
    GroupView& group = view->groups[rule.database];
    group.database = rule.database;
    group.connections = ShareOf(rule, proxies);
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
