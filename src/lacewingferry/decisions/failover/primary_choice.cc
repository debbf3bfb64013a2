#include "lacewingferry/decisions/failover/primary_choice.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

/** Zones of one region share the name up to the last hyphen: nh-a, nh-b. */
std::string RegionOf(const AvailabilityZone& zone) {
  return zone.Value().substr(0, zone.Value().rfind('-'));
}

}  // namespace

const FencedMember& ChooseAmongFenced(const std::vector<FencedMember>& members,
                                      const MemberId& former_primary,
                                      const AvailabilityZone& former_zone) {
  if (members.empty()) throw InternalError("no fenced member to choose from");
  const std::string region = RegionOf(former_zone);
  const auto rank = [&](const FencedMember& member) {
    return std::make_tuple(member.position, member.id != former_primary,
                           RegionOf(member.zone) == region);
  };
  return *std::max_element(members.begin(), members.end(),
                           [&](const FencedMember& a, const FencedMember& b) {
                             if (rank(a) != rank(b)) return rank(a) < rank(b);
                             return b.id < a.id;
                           });
}

}  // namespace lacewingferry
