#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_PROXY_FAILOVER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_PROXY_FAILOVER_H_

// Defines ProxyFailover, a proxy's part in leases and failover.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/failover/cluster_knowledge.h"
#include "lacewingferry/decisions/failover/control_leader_finder.h"
#include "lacewingferry/decisions/failover/primary_observer.h"
#include "lacewingferry/decisions/lease/lease_holder.h"

namespace lacewingferry {

/** What a ProxyFailover acts through. */
struct ProxyFailoverHooks {
  using CommandHook = std::function<void(
      std::chrono::steady_clock::time_point now, const MemberCommandResult&)>;

  /** Sends to a replica of control; the message may get lost. */
  std::function<void(const NodeId&, const PeerBody&)> send;
  /** Runs a command on its member in the dialect's SQL, and gives the answer
   * back once, never within the call. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const MemberCommand&, CommandHook on_result)>
      run_command;
  /** See PrimaryObserverHooks. */
  decltype(PrimaryObserverHooks::probe) probe;
  decltype(PrimaryObserverHooks::probe_server) probe_server;
  /** See LeaseHolderHooks. */
  decltype(LeaseHolderHooks::on_lease) on_lease;
  decltype(LeaseHolderHooks::release_term) release_term;
  /** Control's decisions changed: the view has to be built and published
   * anew, and given to OnView. */
  std::function<void(std::chrono::steady_clock::time_point now)> changed;
};

/** Who decides, and with what durations. */
struct ProxyFailoverSettings {
  NodeId self;
  /** Differs between the runs of a process; a later one is larger. */
  std::uint64_t incarnation = 0;
  /** The replicas of control. */
  std::vector<NodeId> control;
  LeaseTiming lease;
  PrimaryObserverSettings observer;
};

/**
 * Belongs to a proxy's control thread: holds leases, watches primaries, runs
 * control's commands on members, and keeps what control decided.
 */
class ProxyFailover {
 public:
  ProxyFailover(ProxyFailoverHooks hooks, ProxyFailoverSettings settings);

  ProxyFailover(const ProxyFailover&) = delete;
  ProxyFailover& operator=(const ProxyFailover&) = delete;

  /** Puts control's decisions into a view built from announcements. */
  void Overlay(RoutingView& view) const { this->knowledge.Overlay(view); }

  /** Takes the overlaid view that is about to be published. */
  void OnView(std::chrono::steady_clock::time_point now,
              const RoutingView& view);

  /** Takes a message of control; returns whether it was one of failover's. */
  bool OnMessage(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const PeerBody& body);

  /** See PrimaryObserver. */
  void OnSign(std::chrono::steady_clock::time_point now, const MemberId& member,
              MemberObservation sign) {
    this->observer.OnSign(now, member, sign);
  }

  /** Gives up all leases, for a planned stop. */
  void ReleaseAll(std::chrono::steady_clock::time_point now) {
    this->holder.ReleaseAll(now);
  }

  const ClusterKnowledge& Knowledge() const { return this->knowledge; }
  const LeaseHolder& Leases() const { return this->holder; }

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

 private:
  LeaseHolderHooks HolderHooks();
  PrimaryObserverHooks ObserverHooks();
  void OnGrant(std::chrono::steady_clock::time_point now, const NodeId& from,
               const LeaseGrant& grant);
  void OnUpdate(std::chrono::steady_clock::time_point now,
                const ClusterUpdate& update);
  void AskForUpdate();

  ProxyFailoverHooks hooks;
  ProxyFailoverSettings settings;
  ClusterKnowledge knowledge;
  ControlLeaderFinder finder;
  LeaseHolder holder;
  PrimaryObserver observer;
  std::chrono::steady_clock::time_point last_answer;
  std::chrono::steady_clock::time_point next_search;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_PROXY_FAILOVER_H_
