#ifndef LACEWINGFERRY_CORE_MESSAGES_CONFIGURATION_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_CONFIGURATION_MESSAGES_H_

// Defines the messages that bring the configuration to the proxies and tell
// control where it is in force.

#include <cstdint>

#include "lacewingferry/core/configuration_in_force.h"

namespace lacewingferry {

/** The whole configuration at one revision. */
struct ConfigurationOffer {
  ConfigurationInForce configuration;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("configuration", self.configuration);
  }
};

/** A proxy's report of the revision that it runs. Control answers with an
 * offer if it has a higher one. */
struct ConfigurationReport {
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("incarnation", self.incarnation);
    visit("revision", self.revision);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_CONFIGURATION_MESSAGES_H_
