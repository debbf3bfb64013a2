#ifndef LACEWINGFERRY_CORE_CONFIGURATION_IN_FORCE_H_
#define LACEWINGFERRY_CORE_CONFIGURATION_IN_FORCE_H_

// Defines ConfigurationInForce, everything that the accepted release notes
// together state at one revision.

#include <cstdint>
#include <map>
#include <tuple>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** The configuration at one revision. */
struct ConfigurationInForce {
  /** Counts the accepted notes; 0 while there is none. */
  std::uint64_t revision = 0;
  std::map<GroupId, DatabaseGroup> groups;
  std::map<GroupId, StalenessRule> staleness_rules;
  std::map<NodeId, FrontProxy> proxies;

  friend bool operator==(const ConfigurationInForce& a,
                         const ConfigurationInForce& b) {
    return std::tie(a.revision, a.groups, a.staleness_rules, a.proxies) ==
           std::tie(b.revision, b.groups, b.staleness_rules, b.proxies);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("revision", self.revision);
    visit("groups", self.groups);
    visit("staleness_rules", self.staleness_rules);
    visit("proxies", self.proxies);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_CONFIGURATION_IN_FORCE_H_
