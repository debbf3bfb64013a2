#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_HOLDER_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_HOLDER_H_

// Defines ConfigurationHolder, a proxy's side of the configuration.

#include <cstdint>
#include <functional>
#include <memory>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** What a holder did with an offer. */
enum class OfferResult : std::uint8_t {
  /** The offer is in force. */
  kTaken,
  /** The holder has that revision or a higher one; nothing changed. */
  kNotHigher,
  /** The note doesn't follow the held revision; ask for the whole. */
  kGap,
};

/** Keeps the configuration that a proxy runs. Its revision never goes down.
 * Used on the control thread only. */
class ConfigurationHolder {
 public:
  using ConfigurationPtr = std::shared_ptr<const ConfigurationInForce>;

  /** Calls on_change after each change with what is then in force. */
  explicit ConfigurationHolder(
      std::function<void(const ConfigurationPtr&)> on_change);

  /** Offers a whole configuration, of control or of another proxy. */
  OfferResult OfferWhole(const ConfigurationInForce& offered);

  /** Offers an accepted note and the revision that it made. */
  OfferResult OfferNote(const ReleaseNote& note, std::uint64_t revision);

  /** What is in force; revision 0 before the first offer. Never null. */
  const ConfigurationPtr& Current() const { return this->current; }

 private:
  void Take(ConfigurationPtr taken);

  std::function<void(const ConfigurationPtr&)> changed;
  ConfigurationPtr current;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_HOLDER_H_
