#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_KIND_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_KIND_H_

// Defines ForEachKind, which runs the same step for each kind of thing that
// a release note names.

#include <map>
#include <string>
#include <vector>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry::detail {

/** Where one kind of thing stands in a note and in the state. */
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
  /** The member that names an item. */
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

/** Names an item in findings, for example: added group 'permit-db'. */
inline std::string ItemName(const char* section, const char* kind,
                            const std::string& id) {
  return std::string(section) + " " + kind + " '" + id + "'";
}

}  // namespace lacewingferry::detail

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_KIND_H_
