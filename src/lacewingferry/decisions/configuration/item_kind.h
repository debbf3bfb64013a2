#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_KIND_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_KIND_H_

// Defines ForEachKind, which calls a function for each kind of item in a
// release note.

#include <map>
#include <string>
#include <vector>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry::detail {

/** The members of a note and of the state that hold one kind of item. */
template <typename ItemType, typename IdType>
struct ItemKind {
  using Item = ItemType;
  using Id = IdType;

  /** The kind's name in findings and differences. */
  const char* name;
  std::vector<Item> NoteItems::*items;
  std::vector<Id> WithdrawnItems::*withdrawn;
  std::map<Id, Item> ConfigurationInForce::*in_force;
  WithdrawnNames<Id> Configuration::*withdrawn_names;
  /** The member that identifies an item. */
  Id Item::*id;
};

inline constexpr ItemKind<DatabaseGroup, GroupId> kGroupKind{
    "group",
    &NoteItems::groups,
    &WithdrawnItems::groups,
    &ConfigurationInForce::groups,
    &Configuration::withdrawn_groups,
    &DatabaseGroup::id};
inline constexpr ItemKind<StalenessRule, GroupId> kRuleKind{
    "staleness rule",
    &NoteItems::staleness_rules,
    &WithdrawnItems::staleness_rules,
    &ConfigurationInForce::staleness_rules,
    &Configuration::withdrawn_rules,
    &StalenessRule::group};
inline constexpr ItemKind<FrontProxy, NodeId> kProxyKind{
    "proxy",
    &NoteItems::proxies,
    &WithdrawnItems::proxies,
    &ConfigurationInForce::proxies,
    &Configuration::withdrawn_proxies,
    &FrontProxy::id};

/** Calls step with each ItemKind. */
template <typename Step>
void ForEachKind(Step&& step) {
  step(kGroupKind);
  step(kRuleKind);
  step(kProxyKind);
}

/** Formats an item for a finding, for example: added group 'permit-db'. */
inline std::string ItemName(const char* section, const char* kind,
                            const std::string& id) {
  return std::string(section) + " " + kind + " '" + id + "'";
}

}  // namespace lacewingferry::detail

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_KIND_H_
