#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_CLIENT_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_CLIENT_H_

// Defines FleetClient, the proxy's side of its communication with the control
// service.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/core/messages/fleet_messages.h"
#include "lacewingferry/core/messages/permit_messages.h"
#include "lacewingferry/decisions/gateway/gateway_view.h"
#include "lacewingferry/decisions/lease/lease_holder.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** The effects of a FleetClient. All run on the proxy's control thread. */
struct FleetClientHooks {
  /** Sends a report to a control process. */
  std::function<void(const NodeId&, const ProxyReport&)> report;
  /** Tells a control process that a lease was given up. */
  std::function<void(const NodeId&, const LeaseRecalled&)> recalled;
  /** Asks a control process for permits. */
  std::function<void(const NodeId&, const PermitRequest&)> request_permits;
  /** Passes granted permits to the traffic thread. */
  std::function<void(const PermitGrant&)> permits;
  /** Reopens the connection to a control process. */
  std::function<void(const NodeId&)> redial;
  /** Passes a new view to the traffic thread. */
  std::function<void(GatewayViewPtr)> publish;
  /** Passes a lease and its expiry time to the traffic thread. */
  std::function<void(const DatabaseId&, std::uint64_t term,
                     std::chrono::steady_clock::time_point until)>
      lease;
  /** Passes a log position of the primary, and the time at which it was
   * requested, to the traffic thread. */
  std::function<void(const DatabaseId&,
                     std::chrono::steady_clock::time_point requested_at,
                     const LogPosition&)>
      position;
  /** Asks the traffic thread to stop acknowledging commits in terms before
   * before_term. Commits in flight may finish within the grace period.
   * FleetClient::OnTrafficRecalled follows. */
  std::function<void(const DatabaseId&, std::uint64_t before_term,
                     std::chrono::milliseconds grace_period)>
      recall;
  /** The control processes that are listed in the current settings. */
  std::function<std::vector<NodeId>()> seeds;
  EventPort events;
};

/** The identity and time limits of a FleetClient. */
struct FleetClientSettings {
  /** The identifier of this proxy at control and at other proxies. */
  NodeId self;
  AvailabilityZone zone;
  LeaseTiming lease;
  std::chrono::milliseconds report_interval{500};
  /** The interval between reports while reports stay unanswered. */
  std::chrono::milliseconds retry_interval{120};
  /** Without an answer for this long, the next control process is tried. */
  std::chrono::milliseconds answer_timeout{700};
  /** The same time limit before the first answer, when control may still be
   * starting. */
  std::chrono::milliseconds first_answer_timeout{300};
  /** After this long without an answer, control_lost is logged and the proxy is
   * no longer ready. */
  std::chrono::milliseconds contact_lost_timeout{2500};
  /** A lower proxy count takes effect only this long after the last accepted
   * count. */
  std::chrono::milliseconds proxy_count_decrease_delay{6000};
};

/**
 * Finds the leader of the control service and reports to it. Receives members,
 * terms, routes, leases and log positions from it and passes them to the
 * traffic thread. Never replaces a state or configuration by an older one.
 */
class FleetClient {
 public:
  FleetClient(FleetClientHooks client_hooks, FleetClientSettings settings,
              std::uint64_t initial_incarnation);
  FleetClient(const FleetClient&) = delete;
  FleetClient& operator=(const FleetClient&) = delete;

  void Start(std::chrono::steady_clock::time_point now);
  void OnUpdate(std::chrono::steady_clock::time_point now, const NodeId& from,
                const ProxyUpdate& update);
  void OnRedirect(std::chrono::steady_clock::time_point now,
                  const ControlRedirect& redirect);
  void OnRecall(std::chrono::steady_clock::time_point now, const NodeId& from,
                const LeaseRecall& recall);
  /** The traffic thread no longer acknowledges commits in terms before
   * before_term. `acknowledged` is the highest log position that it
   * acknowledged. */
  void OnTrafficRecalled(std::chrono::steady_clock::time_point now,
                         const DatabaseId& database, std::uint64_t before_term,
                         const LogPosition& acknowledged);

  /** Sends the traffic thread's request to the control leader. */
  void RequestPermits(PermitRequest request);
  void OnPermits(const PermitGrant& grant);

  void OnTick(std::chrono::steady_clock::time_point now);
  std::chrono::steady_clock::time_point NextWakeup() const;

  /** Tells control that this proxy accepts no more sessions. */
  void StartDraining(std::chrono::steady_clock::time_point now);

  /** Gives up all leases; called when traffic has ended. */
  void ReleaseLeases(std::chrono::steady_clock::time_point now);

  /** Whether clients should connect to this proxy: a configuration is known
   * and control answers. A proxy without control can serve less than the
   * others. */
  bool Ready() const {
    return this->configuration.version != 0 && this->in_contact;
  }

 private:
  void CreateLeaseHolder();
  void SendReport(std::chrono::steady_clock::time_point now,
                  std::optional<LeaseRenewal> renewal);
  std::chrono::milliseconds AnswerTimeout() const;
  void TryNextControlNode(std::chrono::steady_clock::time_point now);
  bool SearchesForLeader(std::chrono::steady_clock::time_point now) const;
  void ReportToOtherNodes();
  std::vector<NodeId> ControlNodes() const;
  void UpdateProxyCount(std::chrono::steady_clock::time_point now,
                        std::uint32_t proxies);
  void Publish(std::chrono::steady_clock::time_point now);
  void OnAnswer(std::chrono::steady_clock::time_point now, const NodeId& from);

  FleetClientHooks hooks;
  FleetClientSettings settings;
  std::uint64_t incarnation;
  std::unique_ptr<LeaseHolder> holder;
  /** The time of the event that is being handled. */
  std::chrono::steady_clock::time_point current_time;
  std::vector<NodeId> control;
  NodeId leader;
  std::size_t next_node = 0;
  std::uint64_t sequence = 0;
  ProxyReport newest_report;
  std::map<std::uint64_t, std::chrono::steady_clock::time_point> sent;
  std::uint32_t unanswered = 0;
  std::chrono::steady_clock::time_point last_answer;
  std::chrono::steady_clock::time_point last_switch;
  std::chrono::steady_clock::time_point next_report;
  bool in_contact = false;
  bool draining = false;
  FleetState fleet;
  ServiceConfiguration configuration;
  std::uint32_t proxy_count = 1;
  std::chrono::steady_clock::time_point proxy_count_since;
  ZoneProxies zone_proxies;
  /** The control process that requested the latest recall of each database. */
  std::map<DatabaseId, NodeId> recall_requesters;
  LogPosition recalled_position;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_CLIENT_H_
