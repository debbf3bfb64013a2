#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_ROUTING_VIEW_BUILDER_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_ROUTING_VIEW_BUILDER_H_

// Defines RoutingViewBuilder, which builds the routing view from the membership
// records.

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/membership/membership_table.h"

namespace lacewingferry {

/** Builds routing views. Caches the owners of each member's slots until the
 * number of slots or the proxies that may own them change. */
class RoutingViewBuilder {
 public:
  /** Builds the routing view of a table without the excluded zones. */
  RoutingView Build(const MembershipTable& table,
                    const std::set<AvailabilityZone>& excluded_zones);

 private:
  struct Candidates {
    std::vector<ProxyInfo> proxies;
    std::uint64_t fingerprint = 0;
  };
  struct CachedOwners {
    std::uint64_t fingerprint = 0;
    std::uint32_t slots = 0;
    std::vector<SlotShare> shares;
  };

  static void AddCandidate(const ProxyInfo& proxy, Candidates& candidates);
  const std::vector<SlotShare>& OwnersOf(
      const MemberInfo& member, const Candidates& candidates,
      std::map<MemberId, CachedOwners>& still_used);

  std::map<MemberId, CachedOwners> cached_owners;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_ROUTING_VIEW_BUILDER_H_
