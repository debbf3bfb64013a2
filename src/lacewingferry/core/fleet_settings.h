#ifndef LACEWINGFERRY_CORE_FLEET_SETTINGS_H_
#define LACEWINGFERRY_CORE_FLEET_SETTINGS_H_

// Defines the settings of the programs that serve sessions: the proxy of
// sessions and the control process of its fleet.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/core/settings.h"

namespace lacewingferry {

/** What both programs are told of themselves and of their fleet. */
struct FleetNodeSettings {
  /** The name in logs. */
  std::string name;
  /** This machine's address; it also identifies the process to others. */
  NodeId address;
  AvailabilityZone zone;
  /** The region of each availability zone. */
  std::map<AvailabilityZone, std::string> regions;
  /** The port at which every process of the fleet takes messages. */
  std::uint16_t peer_port = 0;
  /** Where metrics are served. */
  std::uint16_t metrics_port = 0;
  /** Processes of control to meet first. */
  std::vector<NodeId> control;
  LogSettings log;
};

/** The settings of a proxy of sessions. */
struct SessionProxySettings {
  FleetNodeSettings node;
  /** Where clients connect. */
  Endpoint listen;
  /** Where other proxies relay sessions to; the same on every proxy. */
  std::uint16_t relay_port = 0;
  /** Where the balancer asks whether this proxy takes connections. */
  Endpoint readiness;
  /** How long a planned stop may take. */
  std::chrono::milliseconds stop_limit{5000};
};

/** Over which time customers' rate limits count, and how far the fleet may
 * exceed them. */
struct CustomerLimitSettings {
  /** In any window of this length a customer may start rate x window + burst
   * operations; 0: the limit counts over any time. */
  std::chrono::milliseconds window{0};
  /** As a part of what a limit allows in the window. */
  double overrun = 0;
  /** Operations on top of that. */
  double slack = 0;
};

/** The settings of a control process of the fleet. */
struct FleetControlProgramSettings {
  FleetNodeSettings node;
  /** Where operators and members connect. */
  Endpoint listen;
  std::string data_folder;
  /** Whether this is the very first start of the fleet, on empty disks. */
  bool founding = false;
  /** How many VMs with a disk may be lost at the same time. */
  std::uint64_t tolerated_losses = 1;
  /** Where promotions are asked for. */
  Endpoint promotion;
  CustomerLimitSettings limits;
  /** Whether the settings name limits. Where they don't, the platform's adapter
   * makes them of the bounds that the platform states under its own names. */
  bool has_limits = false;
  std::map<std::string, std::string> platform_bounds;
  std::chrono::milliseconds stop_limit{5000};
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_FLEET_SETTINGS_H_
