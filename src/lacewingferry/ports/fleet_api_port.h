#ifndef LACEWINGFERRY_PORTS_FLEET_API_PORT_H_
#define LACEWINGFERRY_PORTS_FLEET_API_PORT_H_

// Defines the port through which operators and members reach control, free of
// any encoding.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/core/service_configuration.h"

namespace lacewingferry {

/** What became of an order or an announcement. */
enum class FleetApiResult : std::uint8_t {
  kDone,
  /** An announcement from an earlier run of its member. */
  kOutdated,
  /** An announcement that names no member to use. */
  kRefused,
  /** It may or may not be in force; to be sent again. */
  kUnknown,
};

/** Where an order has to go. */
struct FleetLeader {
  /** Whether this process leads, at this very moment. */
  bool self = false;
  /** Another process that leads; empty while none is known. */
  NodeId node{};
};

/** What control offers, on its thread. */
struct FleetApiPort {
  std::function<FleetLeader()> leader;
  /** Replaces the configuration; an older one changes nothing and is done. */
  std::function<void(const ServiceConfiguration&, const std::string& document,
                     std::function<void(FleetApiResult)>)>
      replace;
  /** The newest configuration as it was sent; none before the first. Valid
   * only while leader().self holds after the call. */
  std::function<std::optional<std::string>()> fetch;
  /** Whether an announcement says nothing that isn't in the replicated state
   * already; any process may acknowledge it then. */
  std::function<bool(const MemberAnnouncement&)> known;
  std::function<void(const MemberAnnouncement&,
                     std::function<void(FleetApiResult)>)>
      announce;
  std::function<void(const MemberFarewell&,
                     std::function<void(FleetApiResult)>)>
      farewell;
  /** An order that can't be taken, with the reason. */
  std::function<void(const std::string& what, const std::string& reason)>
      refused;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_PORTS_FLEET_API_PORT_H_
