#include "lacewingferry/decisions/configuration/configured_view.h"

#include <algorithm>
#include <optional>

namespace lacewingferry {
namespace {

bool Serves(const DatabaseGroup& group, const DatabaseId& database) {
  return std::find(group.databases.begin(), group.databases.end(), database) !=
         group.databases.end();
}

/** Applies the settings of the database's group. Returns false if that group is
 * not in force or does not list the database. */
bool ApplyGroup(const ConfigurationInForce& configuration,
                DatabaseView& database) {
  const auto group = configuration.groups.find(database.group);
  if (group == configuration.groups.end()) return false;
  if (!Serves(group->second, database.id)) return false;
  database.group_size = group->second.members;
  const auto rule = configuration.staleness_rules.find(database.group);
  if (rule != configuration.staleness_rules.end()) {
    database.default_max_age = rule->second.max_age;
  }
  return true;
}

}  // namespace

void ApplyConfiguration(const ConfigurationInForce& configuration,
                        RoutingView& view) {
  view.configuration_revision = configuration.revision;
  if (configuration.revision == 0) return;
  for (auto it = view.databases.begin(); it != view.databases.end();) {
    const bool in_force = ApplyGroup(configuration, it->second);
    it = in_force ? std::next(it) : view.databases.erase(it);
  }
}

}  // namespace lacewingferry
