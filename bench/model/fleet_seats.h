#ifndef BENCH_MODEL_FLEET_SEATS_H_
#define BENCH_MODEL_FLEET_SEATS_H_

// Defines FleetSeats, the slots of a fleet's members under witnesses, in
// virtual time.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "bench/model/event_queue.h"
#include "lacewingferry/decisions/ownership/proxy_seats.h"

namespace lacewingferry::model {

/** What FleetSeats needs of the fleet. */
struct FleetSeatHooks {
  /** Runs an action at another proxy after the way there, if it arrives. */
  std::function<void(const NodeId& from, const NodeId& to, const PeerBody& body,
                     std::function<void()> action)>
      deliver;
  /** Gives a table to a proxy's traffic, which answers with a report. */
  std::function<void(const NodeId&, const SeatTablePtr&,
                     std::function<void(const SeatReport&)> report)>
      publish;
};

/** Runs the ProxySeats of each live proxy, by a clock that may run fast. */
class FleetSeats {
 public:
  FleetSeats(EventQueue& queue, SeatTimings timings, FleetSeatHooks hooks);

  /** Starts a proxy; its clock runs faster than the others by the drift. */
  void Boot(const NodeId& proxy, std::uint64_t incarnation, double drift);
  void Kill(const NodeId& proxy) { this->nodes.erase(proxy); }

  /** Tells a proxy the configuration in force. */
  void Configure(const NodeId& proxy,
                 const ConfigurationInForce& configuration);

  /** Tells a proxy the view that its traffic was just given. */
  void OnView(const NodeId& proxy, const RoutingView& view);

 private:
  struct Node {
    std::uint64_t incarnation = 0;
    double drift = 0;
    std::unique_ptr<ProxySeats> seats;
  };

  std::chrono::steady_clock::time_point NowOf(const Node& node) const;
  SeatTablePtr InFleetTime(const Node& node, const SeatTable& table) const;
  ProxySeatsHooks HooksFor(const NodeId& proxy, std::uint64_t incarnation);
  void OnReport(const NodeId& proxy, std::uint64_t incarnation,
                const SeatReport& report);
  void Tick(const NodeId& proxy, std::uint64_t incarnation);

  EventQueue& queue;
  SeatTimings timings;
  FleetSeatHooks hooks;
  std::map<NodeId, Node> nodes;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_FLEET_SEATS_H_
