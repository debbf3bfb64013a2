#ifndef BENCH_MODEL_FLEET_SEATS_H_
#define BENCH_MODEL_FLEET_SEATS_H_

// Defines FleetSeats, the slots of a fleet's members under witnesses, in
// virtual time.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/model/event_queue.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/ownership/seat_holder.h"
#include "lacewingferry/decisions/ownership/seat_witness.h"

namespace lacewingferry::model {

/** What FleetSeats needs of the fleet. */
struct FleetSeatHooks {
  /** Runs an action at another proxy after the way there, if it arrives. */
  std::function<void(const NodeId& from, const NodeId& to,
                     std::function<void()> action)>
      deliver;
  std::function<std::size_t(const NodeId&, const MemberId&)> connections;
  /** Closes a proxy's connections to a member above a number. */
  std::function<void(const NodeId&, const MemberId&, std::uint32_t most)> limit;
  /** Tells that a proxy's targets changed. */
  std::function<void(const NodeId&)> changed;
};

/** Runs a holder and a witness in each live proxy; the witnesses of a member
 * are the proxies of its zone. */
class FleetSeats {
 public:
  FleetSeats(EventQueue& queue, SeatTimings timings, FleetSeatHooks hooks);

  /** Starts a proxy; its clock runs faster than the others by the drift. */
  void Boot(const ProxyInfo& proxy, const std::vector<NodeId>& witnesses,
            std::uint64_t incarnation, double drift);
  void Kill(const NodeId& proxy) { this->nodes.erase(proxy); }

  /** Sets the seats that a proxy should hold by its view. */
  void Want(const NodeId& proxy, const std::vector<RoutedMember>& members);

  /** The connections that a proxy should keep to a member. */
  std::uint32_t Target(const NodeId& proxy, const MemberId& member);

 private:
  struct Node {
    std::uint64_t incarnation = 0;
    double drift = 0;
    std::unique_ptr<SeatWitness> witness;
    std::unique_ptr<SeatHolder> holder;
    std::vector<MemberId> members;
    std::map<MemberId, std::uint32_t> targets;
  };

  std::chrono::steady_clock::time_point NowOf(const Node& node) const;
  void SendClaim(const NodeId& from, const NodeId& to, const SeatClaim& claim);
  void Tick(const NodeId& proxy, std::uint64_t incarnation);
  void Apply(const NodeId& proxy, Node& node);

  EventQueue& queue;
  SeatTimings timings;
  FleetSeatHooks hooks;
  std::map<NodeId, Node> nodes;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_FLEET_SEATS_H_
