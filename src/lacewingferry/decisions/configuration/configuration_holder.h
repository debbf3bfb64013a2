#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_HOLDER_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_HOLDER_H_

// Defines ConfigurationHolder, which holds the configuration that a proxy runs.

#include <cstdint>
#include <functional>
#include <memory>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** The result of an offer to a ConfigurationHolder. */
enum class OfferResult : std::uint8_t {
  /** The offered configuration is now in force. */
  kTaken,
  /** The proxy already runs this revision or a higher one; nothing changed. */
  kNotHigher,
  /** The note does not directly follow the current revision; the caller must
   * request the whole configuration. */
  kGap,
};

/** Holds the configuration that a proxy runs. Its revision never decreases.
 * Used on the control thread only. */
class ConfigurationHolder {
 public:
  using ConfigurationPtr = std::shared_ptr<const ConfigurationInForce>;

  /** Calls on_change after each change with the new configuration. */
  explicit ConfigurationHolder(
      std::function<void(const ConfigurationPtr&)> on_change);

  /** Offers a whole configuration, from control or from another proxy. */
  OfferResult OfferConfiguration(const ConfigurationInForce& offered);

  /** Offers an accepted note and the revision that it created. */
  OfferResult OfferNote(const ReleaseNote& note, std::uint64_t revision);

  /** The configuration in force; revision 0 before the first offer. Never
   * null. */
  const ConfigurationPtr& Current() const { return this->current; }

 private:
  void SetCurrent(ConfigurationPtr taken);

  std::function<void(const ConfigurationPtr&)> changed;
  ConfigurationPtr current;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_HOLDER_H_
