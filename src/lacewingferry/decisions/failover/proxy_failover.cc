#include "lacewingferry/decisions/failover/proxy_failover.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** How long the leader of control may be silent before another replica is
 * asked, and the pause before the next one. */
constexpr milliseconds kLeaderSilence{260};
constexpr milliseconds kSearchPause{70};

}  // namespace

ProxyFailover::ProxyFailover(ProxyFailoverHooks proxy_hooks,
                             ProxyFailoverSettings proxy_settings)
    : hooks(std::move(proxy_hooks)),
      settings(std::move(proxy_settings)),
      finder(this->settings.control),
      holder(this->HolderHooks(), this->settings.incarnation,
             this->settings.lease),
      observer(this->ObserverHooks(), this->settings.observer) {}

LeaseHolderHooks ProxyFailover::HolderHooks() {
  LeaseHolderHooks own;
  own.send_renewal = [this](const LeaseRenewal& renewal) {
    this->hooks.send(this->finder.Target(), renewal);
  };
  own.send_released = [this](const LeaseReleased& released) {
    this->hooks.send(this->finder.Target(), released);
  };
  own.on_lease = this->hooks.on_lease;
  own.release_term = this->hooks.release_term;
  return own;
}

PrimaryObserverHooks ProxyFailover::ObserverHooks() {
  PrimaryObserverHooks own;
  own.suspect = [this](const PrimarySuspicion& suspicion) {
    this->hooks.send(this->finder.Target(), suspicion);
  };
  own.probe = this->hooks.probe;
  own.probe_server = this->hooks.probe_server;
  own.reply = [this](const NodeId& to, const ObserveReply& reply) {
    this->hooks.send(to, reply);
  };
  return own;
}

void ProxyFailover::OnView(steady_clock::time_point now,
                           const RoutingView& view) {
  this->observer.SetPrimaries(
      now, this->knowledge.OwnedPrimaries(view, this->settings.self));
  this->holder.SetDatabases(
      now, this->knowledge.OwnedStamps(view, this->settings.self));
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
  this->last_answer = now;
  this->holder.OnGrant(now, grant);
  if (grant.cluster_revision > this->knowledge.Revision()) {
    this->AskForUpdate();
  }
}

void ProxyFailover::OnUpdate(steady_clock::time_point now,
                             const ClusterUpdate& update) {
  const bool changed = this->knowledge.OnUpdate(update);
  if (update.revision > this->knowledge.Revision()) this->AskForUpdate();
  if (changed) this->hooks.changed(now);
}

void ProxyFailover::AskForUpdate() {
  this->hooks.send(this->finder.Target(),
                   ClusterUpdateRequest{this->knowledge.Revision()});
}

void ProxyFailover::OnTick(steady_clock::time_point now) {
  this->holder.OnTick(now);
  this->observer.OnTick(now);
  if (now < this->next_search || now - this->last_answer < kLeaderSilence) {
    return;
  }
  this->next_search = now + kSearchPause;
  this->finder.OnSilence();
  this->holder.RenewNow(now);
}

std::optional<steady_clock::time_point> ProxyFailover::NextWakeup() const {
  auto next = std::max(this->next_search, this->last_answer + kLeaderSilence);
  if (const auto due = this->holder.NextWakeup()) next = std::min(next, *due);
  if (const auto due = this->observer.NextWakeup()) next = std::min(next, *due);
  return next;
}

}  // namespace lacewingferry
