#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_CLIENT_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_CLIENT_H_

// Defines FleetClient, a proxy's side of its talk with control.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/core/messages/fleet_messages.h"
#include "lacewingferry/decisions/gateway/gateway_view.h"
#include "lacewingferry/decisions/lease/lease_holder.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** What a FleetClient acts through, on the proxy's control thread. */
struct FleetClientHooks {
  std::function<void(const NodeId&, const ProxyReport&)> report;
  std::function<void(const NodeId&, const LeaseRecalled&)> recalled;
  /** Opens the connection to a process anew. */
  std::function<void(const NodeId&)> redial;
  std::function<void(GatewayViewPtr)> publish;
  std::function<void(const DatabaseId&, std::uint64_t term,
                     std::chrono::steady_clock::time_point until)>
      lease;
  std::function<void(const DatabaseId&,
                     std::chrono::steady_clock::time_point asked,
                     const LogPosition&)>
      position;
  /** Asks traffic to stop acknowledging; OnTrafficRecalled follows. */
  std::function<void(const DatabaseId&, std::uint64_t before_term,
                     std::chrono::milliseconds patience)>
      recall;
  /** The processes of control that the settings name now. */
  std::function<std::vector<NodeId>()> seeds;
  EventPort events;
};

/** The durations of a FleetClient. */
struct FleetClientSettings {
  /** How control and the other proxies name this one. */
  NodeId self;
  AvailabilityZone zone;
  LeaseTiming lease;
  std::chrono::milliseconds report_interval{500};
  /** Between two reports while none is answered. */
  std::chrono::milliseconds retry_interval{120};
  /** Without an answer for this long, another process of control is asked. */
  std::chrono::milliseconds answer_limit{700};
  /** The same before the first answer, when control may be starting too. */
  std::chrono::milliseconds first_answer_limit{300};
  /** After this long without control, the log says so. */
  std::chrono::milliseconds lost_after{2500};
  /** A smaller number of proxies counts only after this time. */
  std::chrono::milliseconds share_memory{6000};
};

/**
 * Finds the leader of control, reports to it, and takes from it the members,
 * terms, routes, leases and positions that traffic runs on. Never goes back to
 * an older state or configuration.
 */
class FleetClient {
 public:
  FleetClient(FleetClientHooks client_hooks, FleetClientSettings settings,
              std::uint64_t run);
  FleetClient(const FleetClient&) = delete;
  FleetClient& operator=(const FleetClient&) = delete;

  void Start(std::chrono::steady_clock::time_point now);
  void OnUpdate(std::chrono::steady_clock::time_point now, const NodeId& from,
                const ProxyUpdate& update);
  void OnRedirect(std::chrono::steady_clock::time_point now,
                  const ControlRedirect& redirect);
  void OnRecall(std::chrono::steady_clock::time_point now, const NodeId& from,
                const LeaseRecall& recall);
  /** Traffic acknowledges nothing more in terms before the given one. */
  void OnTrafficRecalled(std::chrono::steady_clock::time_point now,
                         const DatabaseId& database, std::uint64_t before_term,
                         const LogPosition& acknowledged);

  void OnTick(std::chrono::steady_clock::time_point now);
  std::chrono::steady_clock::time_point NextWakeup() const;

  /** Tells control that this proxy takes no more work. */
  void StartDraining(std::chrono::steady_clock::time_point now);

  /** Gives up all leases, when traffic has ended. */
  void Leave(std::chrono::steady_clock::time_point now);

  /** Whether sessions should come here: routes and members are known, and
   * control answers. Without control others serve more. */
  bool Ready() const {
    return this->configuration.version != 0 && this->in_contact;
  }

 private:
  void MakeHolder();
  void SendReport(std::chrono::steady_clock::time_point now,
                  std::optional<LeaseRenewal> renewal);
  std::chrono::milliseconds AnswerLimit() const;
  void TryNextNode(std::chrono::steady_clock::time_point now);
  bool Searches(std::chrono::steady_clock::time_point now) const;
  void AskOthers();
  std::vector<NodeId> KnownNodes() const;
  void TakeShare(std::chrono::steady_clock::time_point now,
                 std::uint32_t proxies);
  void Publish(std::chrono::steady_clock::time_point now);
  void NoteAnswer(std::chrono::steady_clock::time_point now,
                  const NodeId& from);

  FleetClientHooks hooks;
  FleetClientSettings settings;
  std::uint64_t incarnation;
  std::unique_ptr<LeaseHolder> holder;
  /** The time of the input that is being worked on. */
  std::chrono::steady_clock::time_point present;
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
  std::uint32_t share = 1;
  std::chrono::steady_clock::time_point share_since;
  ZoneProxies neighbours;
  /** Who asked for each recall that is under way. */
  std::map<DatabaseId, NodeId> recallers;
  LogPosition recalled_position;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_FLEET_CLIENT_H_
