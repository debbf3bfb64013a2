#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_ROUTING_VIEW_BUILDER_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_ROUTING_VIEW_BUILDER_H_

// Defines RoutingViewBuilder, which makes the routing view of records.

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/membership/membership_table.h"

namespace lacewingferry {

/** Builds routing views. The owners of a member's slots are computed again
 * only when the member's slots or the proxies that may own them changed. */
class RoutingViewBuilder {
 public:
  /** The view of a table, without the zones that are left out. */
  RoutingView Build(const MembershipTable& table,
                    const std::set<AvailabilityZone>& left_out);

 private:
  struct Candidates {
    std::vector<ProxyInfo> proxies;
    std::uint64_t fingerprint = 0;
  };
  struct Owners {
    std::uint64_t fingerprint = 0;
    std::uint32_t slots = 0;
    std::vector<SlotShare> shares;
  };

  static void Add(const ProxyInfo& proxy, Candidates& candidates);
  const std::vector<SlotShare>& OwnersOf(const MemberInfo& member,
                                         const Candidates& candidates,
                                         std::map<MemberId, Owners>& kept);

  std::map<MemberId, Owners> owners;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_ROUTING_VIEW_BUILDER_H_
