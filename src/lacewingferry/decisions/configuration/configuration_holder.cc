#include "lacewingferry/decisions/configuration/configuration_holder.h"

#include <utility>

#include "lacewingferry/decisions/configuration/item_changes.h"

namespace lacewingferry {

ConfigurationHolder::ConfigurationHolder(
    std::function<void(const ConfigurationPtr&)> on_change)
    : changed(std::move(on_change)),
      current(std::make_shared<const ConfigurationInForce>()) {}

OfferResult ConfigurationHolder::OfferConfiguration(
    const ConfigurationInForce& offered) {
  if (offered.revision <= this->current->revision) {
    return OfferResult::kNotHigher;
  }
  this->SetCurrent(std::make_shared<const ConfigurationInForce>(offered));
  return OfferResult::kTaken;
}

OfferResult ConfigurationHolder::OfferNote(const ReleaseNote& note,
                                           std::uint64_t revision) {
  if (revision <= this->current->revision) {
    return OfferResult::kNotHigher;
  }
  const bool follows = note.base_revision == this->current->revision &&
                       revision == this->current->revision + 1;
  if (!follows) {
    return OfferResult::kGap;
  }
  auto next = std::make_shared<ConfigurationInForce>(*this->current);
  ApplyItems(note, next.get());
  this->SetCurrent(std::move(next));
  return OfferResult::kTaken;
}

void ConfigurationHolder::SetCurrent(ConfigurationPtr taken) {
  this->current = std::move(taken);
  this->changed(this->current);
}

}  // namespace lacewingferry
