#include "lacewingferry/decisions/configuration/item_changes.h"

#include "lacewingferry/decisions/configuration/item_kind.h"

namespace lacewingferry {

void ApplyItems(const ReleaseNote& note, ConfigurationInForce* in_force) {
  detail::ForEachKind([&](const auto& kind) {
    auto& present = in_force->*kind.in_force;
    for (const auto& id : note.withdrawn.*kind.withdrawn) {
      present.erase(id);
    }
    for (const auto& item : note.added.*kind.items) {
      present[item.*kind.id] = item;
    }
    for (const auto& item : note.changed.*kind.items) {
      present[item.*kind.id] = item;
    }
  });
  ++in_force->revision;
}

}  // namespace lacewingferry
