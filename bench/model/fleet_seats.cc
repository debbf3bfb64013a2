#include "bench/model/fleet_seats.h"

#include <utility>

namespace lacewingferry::model {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** How often a proxy looks at its seats. */
constexpr milliseconds kTick{20};
/** The way of a report from a traffic thread to the control thread. */
constexpr microseconds kToControl{100};

steady_clock::time_point Scaled(steady_clock::time_point time, double factor) {
  return steady_clock::time_point(
      std::chrono::duration_cast<steady_clock::duration>(
          time.time_since_epoch() * factor));
}

}  // namespace

FleetSeats::FleetSeats(EventQueue& event_queue, SeatTimings seat_timings,
                       FleetSeatHooks seat_hooks)
    : queue(event_queue), timings(seat_timings), hooks(std::move(seat_hooks)) {}

steady_clock::time_point FleetSeats::NowOf(const Node& node) const {
  return Scaled(this->queue.Now(), 1.0 + node.drift);
}

/** The fleet's traffic runs by the queue's clock. */
SeatTablePtr FleetSeats::InFleetTime(const Node& node,
                                     const SeatTable& table) const {
  auto scaled = std::make_shared<SeatTable>(table);
  for (auto& entry : scaled->ends) {
    for (auto& end : entry.second) end = Scaled(end, 1.0 / (1.0 + node.drift));
  }
  return scaled;
}

ProxySeatsHooks FleetSeats::HooksFor(const NodeId& proxy,
                                     std::uint64_t incarnation) {
  ProxySeatsHooks parts;
  parts.send = [this, proxy](const NodeId& to, const PeerBody& body) {
    this->hooks.deliver(proxy, to, body, [this, proxy, to, body] {
      const auto found = this->nodes.find(to);
      if (found == this->nodes.end()) return;
      Node& node = found->second;
      node.seats->OnMessage(this->NowOf(node), proxy, body);
    });
  };
  parts.publish = [this, proxy, incarnation](const SeatTablePtr& table) {
    this->hooks.publish(proxy, this->InFleetTime(this->nodes.at(proxy), *table),
                        [this, proxy, incarnation](const SeatReport& report) {
                          this->queue.After(
                              kToControl, [this, proxy, incarnation, report] {
                                this->OnReport(proxy, incarnation, report);
                              });
                        });
  };
  return parts;
}

void FleetSeats::OnReport(const NodeId& proxy, std::uint64_t incarnation,
                          const SeatReport& report) {
  const auto found = this->nodes.find(proxy);
  if (found == this->nodes.end()) return;
  if (found->second.incarnation == incarnation) {
    found->second.seats->OnReport(report);
  }
}

void FleetSeats::Boot(const NodeId& proxy, std::uint64_t incarnation,
                      double drift) {
  Node& node = this->nodes[proxy];
  node = Node{incarnation, drift, nullptr};
  ProxySeatsSettings settings;
  settings.self = proxy;
  settings.incarnation = incarnation;
  settings.timings = this->timings;
  node.seats = std::make_unique<ProxySeats>(this->NowOf(node), settings,
                                            this->HooksFor(proxy, incarnation));
  this->Tick(proxy, incarnation);
}

void FleetSeats::Configure(const NodeId& proxy,
                           const ConfigurationInForce& configuration) {
  const auto found = this->nodes.find(proxy);
  if (found == this->nodes.end()) return;
  found->second.seats->OnConfiguration(this->NowOf(found->second),
                                       configuration);
}

void FleetSeats::Tick(const NodeId& proxy, std::uint64_t incarnation) {
  const auto found = this->nodes.find(proxy);
  if (found == this->nodes.end()) return;
  if (found->second.incarnation != incarnation) return;
  found->second.seats->OnTick(this->NowOf(found->second));
  this->queue.After(
      kTick, [this, proxy, incarnation] { this->Tick(proxy, incarnation); });
}

void FleetSeats::OnView(const NodeId& proxy, const RoutingView& view) {
  const auto found = this->nodes.find(proxy);
  if (found == this->nodes.end()) return;
  found->second.seats->OnView(this->NowOf(found->second), view);
}

}  // namespace lacewingferry::model
