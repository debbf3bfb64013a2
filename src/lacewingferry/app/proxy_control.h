#ifndef LACEWINGFERRY_APP_PROXY_CONTROL_H_
#define LACEWINGFERRY_APP_PROXY_CONTROL_H_

// Defines ProxyControl, the control state of a proxy.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "lacewingferry/adapters/libpq/server_probe.h"
#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/core/settings.h"
#include "lacewingferry/decisions/configuration/configuration_holder.h"
#include "lacewingferry/decisions/execution/control_calls.h"
#include "lacewingferry/decisions/execution/member_observation.h"
#include "lacewingferry/decisions/failover/proxy_failover.h"
#include "lacewingferry/decisions/membership/membership_node.h"
#include "lacewingferry/decisions/ownership/proxy_seats.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** What a ProxyControl acts through. */
struct ProxyControlHooks {
  std::function<void(const std::string& peer_url, const PeerBody&)> send;
  /** Gives the traffic threads a newer view. */
  std::function<void(const RoutingViewPtr&)> publish;
  /** Gives the traffic threads the slots that they may use, after all views
   * before. Each answers with a report to OnSeatReport. */
  std::function<void(const SeatTablePtr&)> publish_seats;
  /** Runs a statement on a connection of a member; the reply comes back on
   * the control thread. */
  std::function<void(const DatabaseId&, const MemberId&, const MemberStatement&,
                     std::chrono::steady_clock::time_point deadline,
                     ControlReply)>
      run_statement;
  /** Tests whether a server answers; the result comes back on the control
   * thread. */
  std::function<void(const Endpoint&, std::chrono::milliseconds timeout,
                     ServerProbeHook)>
      probe_server;
  /** Sets the end of the lease on a database. */
  std::function<void(const DatabaseId&,
                     std::chrono::steady_clock::time_point until)>
      lease;
  /** Gives up the terms of a database up to one, for good. */
  std::function<void(const DatabaseId&, std::uint64_t term)> release;
  /** Sends a promise to control after the traffic thread has carried out all
   * releases before it. */
  std::function<void(const std::string& peer_url, const LeaseReleased&)>
      send_released;
  EventPort events;
  std::function<std::chrono::steady_clock::time_point()> now;
};

/**
 * Knows the members and proxies, what control decided and which configuration
 * is in force, and makes the routing view of them:
 *
 *   announcements and heartbeats   MembershipNode
 *   terms, primaries and leases    ProxyFailover
 *   release notes                  ConfigurationHolder
 *   slots                          ProxySeats
 *   Publish                        all but the slots make the view
 *
 * Belongs to the control thread.
 */
class ProxyControl {
 public:
  /** The incarnation is larger for each later run of the process. */
  ProxyControl(ProxySettings settings, std::uint64_t incarnation,
               ProxyControlHooks hooks);

  /** Takes a backend server's announcement. Returns the problem with one that
   * makes no sense; empty if it was taken. */
  std::string Announce(const MemberAnnouncement& announcement);

  /** Takes any message but those of forwarded requests. */
  void OnMessage(const PeerMessage& message);

  /** Takes what the traffic shows of a member. */
  void OnSign(std::chrono::steady_clock::time_point now, const MemberId& member,
              MemberObservation sign);

  /** Takes a traffic thread's answer to a table of seats. */
  void OnSeatReport(const SeatReport& report) { this->seats.OnReport(report); }

  /** Tells peers and control that this proxy takes no new work. */
  void StartDraining();

  /** Gives up all leases and leaves the peers; the end of a planned stop. */
  void Leave();

  /** Does what is due. */
  void OnTick();

  /** When OnTick has to be called next. */
  std::chrono::steady_clock::time_point NextWakeup() const;

 private:
  void Dispatch(const PeerMessage& message);
  ProxyFailoverHooks FailoverParts();
  ProxyFailoverSettings FailoverTimes() const;
  void SendToControl(const NodeId& to, const PeerBody& body);
  void RunCommand(const MemberCommand& command,
                  const ProxyFailoverHooks::CommandResultHook& on_result);
  void Probe(const MemberInfo& member,
             const PrimaryObserverHooks::ProbeResultHook& on_sight);
  ProxySeatsSettings SeatParts() const;
  ProxySeatsHooks SeatEffects();
  void SendToProxy(const NodeId& to, const PeerBody& body);
  void ProbeMemberServer(const MemberInfo& member,
                         const PrimaryObserverHooks::ProbeResultHook& on_sight);
  MembershipSettings MembershipParts() const;
  MembershipHooks MembershipEffects();
  void OnRecord(const MembershipRecord& record);
  void ReportConfiguration(std::chrono::steady_clock::time_point now);
  void Publish(std::chrono::steady_clock::time_point now);
  void RecordNewPrimaries(const RoutingView& view);

  ProxySettings settings;
  std::uint64_t incarnation;
  ProxyControlHooks hooks;
  MembershipNode membership;
  ConfigurationHolder configuration;
  ProxyFailover failover;
  ProxySeats seats;
  /** Where proxies that claimed seats take answers. */
  std::map<NodeId, std::string> heard_from;
  std::map<MemberId, MemberObservation> last_signs;
  std::map<DatabaseId, std::uint64_t> routed_terms;
  /** When the view is to be built anew; never while nothing changed. */
  std::chrono::steady_clock::time_point next_publish =
      std::chrono::steady_clock::time_point::max();
  std::chrono::steady_clock::time_point next_report;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_PROXY_CONTROL_H_
