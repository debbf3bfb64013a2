#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_PROXY_FAILOVER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_PROXY_FAILOVER_H_

// Defines ProxyFailover, a proxy's side of leases and failover.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/failover/cluster_state_cache.h"
#include "lacewingferry/decisions/failover/control_leader_finder.h"
#include "lacewingferry/decisions/failover/primary_observer.h"
#include "lacewingferry/decisions/lease/lease_holder.h"

namespace lacewingferry {

/** The hooks through which a ProxyFailover acts. */
struct ProxyFailoverHooks {
  using CommandResultHook = std::function<void(
      std::chrono::steady_clock::time_point now, const MemberCommandResult&)>;

  /** Sends a message to a control replica; it may get lost. */
  std::function<void(const NodeId&, const PeerBody&)> send;
  /** Runs a command on its member in the SQL of the member's dialect. Calls
   * on_result once, never before run_command returns. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const MemberCommand&, CommandResultHook on_result)>
      run_command;
  /** See PrimaryObserverHooks. */
  decltype(PrimaryObserverHooks::probe) probe;
  decltype(PrimaryObserverHooks::probe_server) probe_server;
  /** See LeaseHolderHooks. */
  decltype(LeaseHolderHooks::on_lease) on_lease;
  decltype(LeaseHolderHooks::release_term) release_term;
  /** The control service's decisions changed: the view must be built and
   * published again, and passed to OnView. */
  std::function<void(std::chrono::steady_clock::time_point now)> changed;
};

/** The proxy's identity, the control replicas, timeouts and intervals. */
struct ProxyFailoverSettings {
  NodeId self;
  /** Identifies this run of the process; a later run has a larger one. */
  std::uint64_t incarnation = 0;
  /** The control replicas. */
  std::vector<NodeId> control;
  LeaseTiming lease;
  PrimaryObserverSettings observer;
};

/**
 * Runs on a proxy's control thread: holds leases, watches primaries, runs the
 * control service's commands on members, and keeps a copy of its decisions.
 */
class ProxyFailover {
 public:
  ProxyFailover(ProxyFailoverHooks hooks, ProxyFailoverSettings settings);

  ProxyFailover(const ProxyFailover&) = delete;
  ProxyFailover& operator=(const ProxyFailover&) = delete;

  /** Applies the control service's decisions to a view built from
   * announcements. */
  void Overlay(RoutingView& view) const { this->cluster_state.Overlay(view); }

  /** Takes the primaries to watch and to hold leases on from the view that is
   * about to be published, after Overlay. */
  void OnView(std::chrono::steady_clock::time_point now,
              const RoutingView& view);

  /** Processes a message of the control service; returns whether it is a
   * failover message. */
  bool OnMessage(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const PeerBody& body);

  /** See PrimaryObserver. */
  void OnSign(std::chrono::steady_clock::time_point now, const MemberId& member,
              MemberObservation sign) {
    this->observer.OnSign(now, member, sign);
  }

  /** Releases all leases, for a planned stop. */
  void ReleaseAll(std::chrono::steady_clock::time_point now) {
    this->holder.ReleaseAll(now);
  }

  const ClusterStateCache& ClusterState() const { return this->cluster_state; }
  const LeaseHolder& Leases() const { return this->holder; }

  /** Runs the work that is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick must be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

 private:
  LeaseHolderHooks HolderHooks();
  PrimaryObserverHooks ObserverHooks();
  void OnGrant(std::chrono::steady_clock::time_point now, const NodeId& from,
               const LeaseGrant& grant);
  void OnUpdate(std::chrono::steady_clock::time_point now,
                const ClusterUpdate& update);
  void RequestUpdate();

  ProxyFailoverHooks hooks;
  ProxyFailoverSettings settings;
  ClusterStateCache cluster_state;
  ControlLeaderFinder finder;
  LeaseHolder holder;
  PrimaryObserver observer;
  std::chrono::steady_clock::time_point last_grant;
  std::chrono::steady_clock::time_point next_search;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_PROXY_FAILOVER_H_
