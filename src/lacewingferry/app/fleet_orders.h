#ifndef LACEWINGFERRY_APP_FLEET_ORDERS_H_
#define LACEWINGFERRY_APP_FLEET_ORDERS_H_

// Defines FleetOrders, what operators and members ask of a process of control.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "lacewingferry/app/control_replica.h"
#include "lacewingferry/decisions/switchover/fleet_control.h"
#include "lacewingferry/ports/fleet_api_port.h"

namespace lacewingferry {

/** What the orders need of the program. */
struct FleetOrderHooks {
  /** Whether this process leads at this very moment. */
  std::function<bool()> leads;
  /** Looks at what an order has changed. */
  std::function<void()> advance;
  std::function<std::chrono::steady_clock::time_point()> now;
  EventPort events;
};

/** Puts orders and announcements into the control log, and answers them when
 * they are applied. Belongs to the control thread. */
class FleetOrders {
 public:
  /** Everything must outlive the orders. */
  FleetOrders(boost::asio::io_context& context, ControlReplica& control_replica,
              FleetControl& fleet_control, FleetOrderHooks order_hooks);

  FleetApiPort Api();

  /** Proposes a command; tells whether it was applied, perhaps before this
   * returns. */
  void Propose(const ControlCommand& command, std::function<void(bool)> done);

 private:
  FleetLeader Leader() const;
  void Replace(const ServiceConfiguration& configuration,
               const std::string& document,
               std::function<void(FleetApiResult)> done);
  bool Known(const MemberAnnouncement& announcement) const;
  void Announce(const MemberAnnouncement& announcement,
                std::function<void(FleetApiResult)> done);
  void Farewell(const MemberFarewell& farewell,
                std::function<void(FleetApiResult)> done);

  boost::asio::io_context& control;
  ControlReplica& replica;
  FleetControl& fleet;
  FleetOrderHooks hooks;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_FLEET_ORDERS_H_
