#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_PROXY_SEATS_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_PROXY_SEATS_H_

// Defines ProxySeats, which obtains a proxy's seats and grants seats to other
// proxies. A seat is the right to use one slot of a member for a limited time.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/core/seat_table.h"
#include "lacewingferry/decisions/ownership/seat_holder.h"
#include "lacewingferry/decisions/ownership/seat_witness.h"

namespace lacewingferry {

/** Functions that a ProxySeats calls. */
struct ProxySeatsHooks {
  /** Sends to another proxy of the configuration; the message may be lost. */
  std::function<void(const NodeId&, const PeerBody&)> send;
  /** Publishes a newer table to all traffic threads, after every view that was
   * published before. Each thread answers with a report. */
  std::function<void(const SeatTablePtr&)> publish;
};

/** The proxy that holds the seats, and how seats are shared. */
struct ProxySeatsSettings {
  NodeId self;
  std::uint64_t incarnation = 0;
  /** The number of traffic threads, each of which reports. */
  std::size_t threads = 1;
  SeatTimings timings;
  /** How long a proxy without a configuration holds no seat. Afterwards it uses
   * the share that its view assigns to it, unless a peer has claimed seats. */
  std::chrono::milliseconds wait_for_configuration{3000};
};

/**
 * Holds seats for the members of which the view assigns a share to this proxy,
 * and acts as a witness for other proxies. The witnesses are determined by the
 * configuration in force; for some time after they change, the earlier ones are
 * asked as well. Belongs to the control thread.
 *
 * OnView takes the shares that were just published to the traffic threads. The
 * SeatTable states how many connections the threads may keep, and until when.
 * OnReport takes the connections that they have; a seat is released only after
 * that.
 */
class ProxySeats {
 public:
  ProxySeats(std::chrono::steady_clock::time_point started,
             ProxySeatsSettings settings, ProxySeatsHooks hooks);
  ProxySeats(const ProxySeats&) = delete;
  ProxySeats& operator=(const ProxySeats&) = delete;

  /** Applies the configuration in force. */
  void OnConfiguration(std::chrono::steady_clock::time_point now,
                       const ConfigurationInForce& newer);

  /** Applies a view that was just published to the traffic threads. */
  void OnView(std::chrono::steady_clock::time_point now,
              const RoutingView& view);

  /** Handles a peer's message. Returns false, and does nothing, for a message
   * that doesn't concern seats. */
  bool OnMessage(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const PeerBody& body);

  /** Handles a traffic thread's report. */
  void OnReport(const SeatReport& report);

  /** Sends the claims and publishes the table that are due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::chrono::steady_clock::time_point NextWakeup() const;

 private:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Wishes = std::map<AvailabilityZone, std::vector<SeatWish>>;

  bool NeedsWitnesses(TimePoint now) const;
  /** Whether the witnesses changed so recently that the earlier ones are still
   * needed. */
  bool Overlapping(std::chrono::steady_clock::time_point now) const;
  bool ReachesRequiredWitnesses(TimePoint now, const SeatClaim& claim) const;
  bool UpdateWishes(const RoutingView& view);
  SeatHolder& HolderForZone(const AvailabilityZone& zone);
  void Send(const NodeId& to, const PeerBody& body);
  void OnClaim(TimePoint now, const NodeId& from, const SeatClaim& claim);
  void OnGrant(TimePoint now, const NodeId& from, const SeatGrant& grant);
  std::size_t ConnectionsTo(const MemberId& member) const;
  void Publish(TimePoint now);

  TimePoint started;
  ProxySeatsSettings settings;
  ProxySeatsHooks hooks;
  ConfigurationInForce configuration;
  /** The configuration before the last change of the proxies, and the time of
   * that change. */
  ConfigurationInForce previous;
  TimePoint proxies_changed;
  std::map<AvailabilityZone, SeatWitness> witnesses;
  std::map<AvailabilityZone, std::unique_ptr<SeatHolder>> holders;
  std::map<MemberId, std::uint32_t> wanted_counts;
  /** Whether a peer has claimed seats. */
  bool peer_claimed_seats = false;
  /** The number of the newest table, and whether it required witnesses'
   * grants. */
  std::uint64_t last_table = 0;
  bool published_needs_witnesses = true;
  /** The table published after the latest change of wishes. Reports on earlier
   * tables don't show its effect. */
  std::uint64_t required_table = 0;
  /** The newest table that all threads have reported on, and the connections
   * that they reported. */
  std::uint64_t reported_table = 0;
  std::map<MemberId, std::size_t> connections;
  std::map<std::uint64_t, std::vector<SeatReport>> incomplete;
  TimePoint current_time;
  TimePoint next_publish;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_PROXY_SEATS_H_
