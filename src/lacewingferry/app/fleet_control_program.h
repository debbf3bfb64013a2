#ifndef LACEWINGFERRY_APP_FLEET_CONTROL_PROGRAM_H_
#define LACEWINGFERRY_APP_FLEET_CONTROL_PROGRAM_H_

// Defines the control process of a fleet of session proxies.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "lacewingferry/adapters/http/http_message.h"
#include "lacewingferry/app/hybrid_wall_clock.h"
#include "lacewingferry/core/fleet_settings.h"
#include "lacewingferry/ports/event_port.h"
#include "lacewingferry/ports/fleet_api_port.h"
#include "lacewingferry/ports/member_admin_port.h"

namespace lacewingferry {

/** The adapters of what a fleet's control talks to. */
struct FleetControlAdapters {
  std::function<MemberAdminPort(boost::asio::io_context&, const ClockPort&)>
      make_admin;
  std::function<PromotionPort(boost::asio::io_context&)> make_promotion;
  /** Answers the requests of operators and members. */
  std::function<HttpHandler(FleetApiPort)> make_api;
  /** Reads a stored configuration. Throws UserError. */
  std::function<ServiceConfiguration(const std::string& document)> parse;
};

/** What a control process gets from its main. */
struct FleetControlParts {
  FleetControlProgramSettings settings;
  /** Reads the settings again; throws UserError. */
  std::function<FleetControlProgramSettings()> reload;
  FleetControlAdapters adapters;
  EventPort events;
  HybridWallClock hybrid;
};

/** A running control process; all its work is done on one thread. */
class FleetControlProgram {
 public:
  /** Reads the disk and listens. Throws UserError or StorageError. */
  explicit FleetControlProgram(FleetControlParts parts);
  ~FleetControlProgram();
  FleetControlProgram(const FleetControlProgram&) = delete;
  FleetControlProgram& operator=(const FleetControlProgram&) = delete;

  /** Runs on the calling thread until SIGTERM or SIGINT. Throws StorageError
   * when the disk fails. */
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_FLEET_CONTROL_PROGRAM_H_
