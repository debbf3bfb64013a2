#include "lacewingferry/decisions/failover/proxy_failover.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** How long the control leader may be silent before another replica is tried,
 * and the interval between further tries. */
constexpr milliseconds kLeaderTimeout{260};
constexpr milliseconds kLeaderSearchInterval{70};

}  // namespace

ProxyFailover::ProxyFailover(ProxyFailoverHooks failover_hooks,
                             ProxyFailoverSettings proxy_settings)
    : hooks(std::move(failover_hooks)),
      settings(std::move(proxy_settings)),
      finder(this->settings.control),
      holder(this->HolderHooks(), this->settings.incarnation,
             this->settings.lease),
      observer(this->ObserverHooks(), this->settings.observer) {}

LeaseHolderHooks ProxyFailover::HolderHooks() {
  LeaseHolderHooks lease_hooks;
  lease_hooks.send_renewal = [this](const LeaseRenewal& renewal) {
    this->hooks.send(this->finder.Target(), renewal);
  };
  lease_hooks.send_released = [this](const LeaseReleased& released) {
    this->hooks.send(this->finder.Target(), released);
  };
  lease_hooks.on_lease = this->hooks.on_lease;
  lease_hooks.release_term = this->hooks.release_term;
  return lease_hooks;
}

PrimaryObserverHooks ProxyFailover::ObserverHooks() {
  PrimaryObserverHooks observer_hooks;
  observer_hooks.report_suspicion = [this](const PrimarySuspicion& suspicion) {
    this->hooks.send(this->finder.Target(), suspicion);
  };
  observer_hooks.probe = this->hooks.probe;
  observer_hooks.probe_server = this->hooks.probe_server;
  observer_hooks.reply = [this](const NodeId& to, const ObserveReply& reply) {
    this->hooks.send(to, reply);
  };
  return observer_hooks;
}

void ProxyFailover::OnView(steady_clock::time_point now,
                           const RoutingView& view) {
  this->observer.SetPrimaries(
      now, this->cluster_state.OwnedPrimaries(view, this->settings.self));
  this->holder.SetDatabases(
      now, this->cluster_state.OwnedStamps(view, this->settings.self));
}

bool ProxyFailover::OnMessage(steady_clock::time_point now, const NodeId& from,
                              const PeerBody& body) {
  if (const auto* grant = std::get_if<LeaseGrant>(&body)) {
    this->OnGrant(now, from, *grant);
  } else if (const auto* release = std::get_if<LeaseRelease>(&body)) {
    this->finder.OnLeaderAnswer(from);
    this->holder.OnRelease(now, *release);
  } else if (const auto* request = std::get_if<ObserveRequest>(&body)) {
    this->observer.OnRequest(now, from, *request);
  } else if (const auto* command = std::get_if<MemberCommand>(&body)) {
    this->hooks.run_command(now, *command,
                            [this, from](steady_clock::time_point,
                                         const MemberCommandResult& result) {
                              this->hooks.send(from, result);
                            });
  } else if (const auto* update = std::get_if<ClusterUpdate>(&body)) {
    this->OnUpdate(now, *update);
  } else if (const auto* redirect = std::get_if<ControlRedirect>(&body)) {
    if (this->finder.OnRedirect(from, *redirect)) this->holder.RenewNow(now);
  } else {
    return false;
  }
  return true;
}

void ProxyFailover::OnGrant(steady_clock::time_point now, const NodeId& from,
                            const LeaseGrant& grant) {
  this->finder.OnLeaderAnswer(from);
  this->last_grant = now;
  this->holder.OnGrant(now, grant);
  if (grant.cluster_revision > this->cluster_state.Revision()) {
    this->RequestUpdate();
  }
}

void ProxyFailover::OnUpdate(steady_clock::time_point now,
                             const ClusterUpdate& update) {
  const bool changed = this->cluster_state.OnUpdate(update);
  if (update.revision > this->cluster_state.Revision()) this->RequestUpdate();
  if (changed) this->hooks.changed(now);
}

void ProxyFailover::RequestUpdate() {
  this->hooks.send(this->finder.Target(),
                   ClusterUpdateRequest{this->cluster_state.Revision()});
}

void ProxyFailover::OnTick(steady_clock::time_point now) {
  this->holder.OnTick(now);
  this->observer.OnTick(now);
  if (now < this->next_search || now - this->last_grant < kLeaderTimeout) {
    return;
  }
  this->next_search = now + kLeaderSearchInterval;
  this->finder.OnTimeout();
  this->holder.RenewNow(now);
}

std::optional<steady_clock::time_point> ProxyFailover::NextWakeup() const {
  auto next = std::max(this->next_search, this->last_grant + kLeaderTimeout);
  if (const auto due = this->holder.NextWakeup()) next = std::min(next, *due);
  if (const auto due = this->observer.NextWakeup()) next = std::min(next, *due);
  return next;
}

}  // namespace lacewingferry
