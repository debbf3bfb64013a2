#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_PROXY_SEATS_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_PROXY_SEATS_H_

// Defines ProxySeats, a proxy's part in sharing the slots of members.

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

/** What a ProxySeats acts through. */
struct ProxySeatsHooks {
  /** Sends to another proxy of the configuration; may lose the message. */
  std::function<void(const NodeId&, const PeerBody&)> send;
  /** Gives all traffic threads a newer table, after every view that was
   * published before. Each answers with a report. */
  std::function<void(const SeatTablePtr&)> publish;
};

/** Whose seats, and how they are shared. */
struct ProxySeatsSettings {
  NodeId self;
  std::uint64_t incarnation = 0;
  /** The traffic threads, each of which reports. */
  std::size_t threads = 1;
  SeatTimings timings;
  /** How long a proxy without a configuration holds no seat. Afterwards it
   * takes its share as its view says, unless it heard of seats. */
  std::chrono::milliseconds wait_for_configuration{3000};
};

/**
 * Holds seats for the members that the view gives this proxy a share of, and
 * is a witness for other proxies. The witnesses are those of the configuration
 * in force; for a time after they changed, also the earlier ones. Belongs to
 * the control thread.
 *
 *   OnView           what the traffic threads were just told to keep
 *   SeatTable        what they may keep, and until when
 *   OnReport         what they have; a seat is given back only after that
 */
class ProxySeats {
 public:
  ProxySeats(std::chrono::steady_clock::time_point started,
             ProxySeatsSettings settings, ProxySeatsHooks hooks);
  ProxySeats(const ProxySeats&) = delete;
  ProxySeats& operator=(const ProxySeats&) = delete;

  /** Takes the configuration in force. */
  void OnConfiguration(std::chrono::steady_clock::time_point now,
                       const ConfigurationInForce& newer);

  /** Takes a view that was just published to the traffic threads. */
  void OnView(std::chrono::steady_clock::time_point now,
              const RoutingView& view);

  /** Takes a message of a peer. Returns false, and does nothing, for a message
   * that doesn't concern seats. */
  bool OnMessage(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const PeerBody& body);

  /** Takes a traffic thread's report. */
  void OnReport(const SeatReport& report);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::chrono::steady_clock::time_point NextWakeup() const;

 private:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Wishes = std::map<AvailabilityZone, std::vector<SeatWish>>;

  bool Witnessed(TimePoint now) const;
  /** Whether the witnesses changed so lately that earlier ones still count. */
  bool Overlapping(std::chrono::steady_clock::time_point now) const;
  bool AsksTheRightWitnesses(TimePoint now, const SeatClaim& claim) const;
  bool SetWishes(const RoutingView& view);
  SeatHolder& HolderOf(const AvailabilityZone& zone);
  void Send(const NodeId& to, const PeerBody& body);
  void OnClaim(TimePoint now, const NodeId& from, const SeatClaim& claim);
  void OnGrant(TimePoint now, const NodeId& from, const SeatGrant& grant);
  std::size_t ConnectionsTo(const MemberId& member) const;
  void Publish(TimePoint now);

  TimePoint started;
  ProxySeatsSettings settings;
  ProxySeatsHooks hooks;
  ConfigurationInForce configuration;
  /** The configuration before the proxies changed, and when they did. */
  ConfigurationInForce previous;
  TimePoint proxies_changed;
  std::map<AvailabilityZone, SeatWitness> witnesses;
  std::map<AvailabilityZone, std::unique_ptr<SeatHolder>> holders;
  std::map<MemberId, std::uint32_t> wanted_counts;
  /** Whether a peer shared seats with this proxy. */
  bool heard_of_seats = false;
  /** The number of the newest table, and whether it was a witnessed one. */
  std::uint64_t tables = 0;
  bool published_witnessed = true;
  /** The table that the traffic threads took after the present wishes. */
  std::uint64_t needed_report = 0;
  /** The newest table that all threads reported on, and their reports. */
  std::uint64_t reported = 0;
  std::map<MemberId, std::size_t> connections;
  std::map<std::uint64_t, std::vector<SeatReport>> incomplete;
  TimePoint present;
  TimePoint next_publish;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_PROXY_SEATS_H_
