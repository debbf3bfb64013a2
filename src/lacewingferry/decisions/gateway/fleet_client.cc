#include "lacewingferry/decisions/gateway/fleet_client.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "lacewingferry/core/clock_drift.h"
#include "lacewingferry/decisions/gateway/fleet_merge.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The number of unanswered reports whose answers are still accepted. */
constexpr std::size_t kMaxSentReports = 32;

}  // namespace

FleetClient::FleetClient(FleetClientHooks client_hooks,
                         FleetClientSettings client_settings,
                         std::uint64_t initial_incarnation)
    : hooks(std::move(client_hooks)),
      settings(std::move(client_settings)),
      incarnation(initial_incarnation) {}

void FleetClient::CreateLeaseHolder() {
  LeaseHolderHooks holder_hooks;
  holder_hooks.send_renewal = [this](const LeaseRenewal& renewal) {
    this->SendReport(this->current_time, renewal);
  };
  holder_hooks.send_released = [this](const LeaseReleased& released) {
    const auto found = this->recall_requesters.find(released.database);
    const bool known = found != this->recall_requesters.end();
    this->hooks.recalled(known ? found->second : this->leader,
                         LeaseRecalled{released, this->recalled_position});
  };
  holder_hooks.on_lease = [this](steady_clock::time_point,
                                 const DatabaseStamp& stamp,
                                 steady_clock::time_point until) {
    this->hooks.lease(stamp.database, stamp.term, until);
  };
  holder_hooks.release_term = [](steady_clock::time_point, const DatabaseId&,
                                 std::uint64_t) {};
  this->holder = std::make_unique<LeaseHolder>(
      std::move(holder_hooks), this->incarnation, this->settings.lease);
}

void FleetClient::Start(steady_clock::time_point now) {
  this->current_time = now;
  this->CreateLeaseHolder();
  this->last_answer = now;
  this->last_switch = now;
  this->next_report = now;
  this->control = this->hooks.seeds();
  this->TryNextControlNode(now);
}

void FleetClient::SendReport(steady_clock::time_point now,
                             std::optional<LeaseRenewal> renewal) {
  if (this->leader.Empty()) return;
  ProxyReport report;
  report.sequence = ++this->sequence;
  report.incarnation = this->incarnation;
  report.zone = this->settings.zone;
  report.fleet_revision = this->fleet.revision;
  report.configuration_version = this->configuration.version;
  report.draining = this->draining;
  report.zone_digest = this->zone_proxies.digest;
  report.unanswered = this->unanswered++;
  report.renewal = std::move(renewal);
  this->sent[report.sequence] = now;
  if (this->sent.size() > kMaxSentReports) this->sent.erase(this->sent.begin());
  this->hooks.report(this->leader, report);
  this->newest_report = std::move(report);
}

/** Whether no control leader is known to answer. */
bool FleetClient::SearchesForLeader(steady_clock::time_point now) const {
  return !this->in_contact ||
         now - this->last_answer > this->settings.answer_timeout;
}

/** Sends the newest report to all other control processes too. Only the leader
 * answers a report, so this finds it. */
void FleetClient::ReportToOtherNodes() {
  for (const NodeId& node : this->ControlNodes()) {
    if (node != this->leader) this->hooks.report(node, this->newest_report);
  }
}

std::vector<NodeId> FleetClient::ControlNodes() const {
  std::vector<NodeId> nodes = this->control;
  for (const NodeId& seed : this->hooks.seeds()) {
    if (std::find(nodes.begin(), nodes.end(), seed) == nodes.end()) {
      nodes.push_back(seed);
    }
  }
  return nodes;
}

void FleetClient::TryNextControlNode(steady_clock::time_point now) {
  const std::vector<NodeId> nodes = this->ControlNodes();
  if (nodes.empty()) return;
  if (!this->leader.Empty()) this->hooks.redial(this->leader);
  this->leader = nodes[this->next_node++ % nodes.size()];
  this->last_switch = now;
  this->next_report = now;
}

void FleetClient::OnRedirect(steady_clock::time_point now,
                             const ControlRedirect& redirect) {
  this->current_time = now;
  if (redirect.leader.Empty() || redirect.leader == this->leader) return;
  this->leader = redirect.leader;
  this->last_switch = now;
  this->next_report = now;
  this->holder->RenewNow(now);
}

void FleetClient::OnAnswer(steady_clock::time_point now, const NodeId& from) {
  this->last_answer = now;
  this->unanswered = 0;
  this->leader = from;
  if (this->in_contact) return;
  this->in_contact = true;
  this->hooks.events.record(Event{
      EventCode::kControlReached, EventLevel::kInfo, {{"node", from.Value()}}});
}

void FleetClient::OnUpdate(steady_clock::time_point now, const NodeId& from,
                           const ProxyUpdate& update) {
  this->current_time = now;
  if (update.incarnation > this->incarnation) {
    this->incarnation = update.incarnation + 1;
    this->CreateLeaseHolder();
    this->Publish(now);
    return;
  }
  if (update.incarnation < this->incarnation) return;
  const auto found = this->sent.find(update.sequence);
  if (found != this->sent.end()) {
    const steady_clock::time_point sent_at = found->second;
    this->sent.erase(this->sent.begin(), std::next(found));
    this->OnAnswer(now, from);
    for (const PrimaryPosition& sample : update.positions) {
      const auto age = sample.age + sample.age / kClockDriftParts;
      this->hooks.position(sample.database, sent_at - age, sample.position);
    }
  }
  if (!update.control.empty()) this->control = update.control;
  const std::uint32_t previous_proxy_count = this->proxy_count;
  this->UpdateProxyCount(now, update.proxies);
  bool changed = this->proxy_count != previous_proxy_count;
  if (update.zone) {
    this->zone_proxies = *update.zone;
    changed = true;
  }
  if (update.fleet && MergeFleet(*update.fleet, &this->fleet)) changed = true;
  if (update.configuration &&
      update.configuration->version > this->configuration.version) {
    this->configuration = *update.configuration;
    this->hooks.events.record(
        Event{EventCode::kConfigurationInForce,
              EventLevel::kInfo,
              {{"version", std::to_string(this->configuration.version)}}});
    changed = true;
  }
  // The lease is passed on before the view, so that the traffic thread has the
  // lease on a term when it first sees the term.
  if (update.grant) this->holder->OnGrant(now, *update.grant);
  if (changed) this->Publish(now);
}

void FleetClient::UpdateProxyCount(steady_clock::time_point now,
                                   std::uint32_t proxies) {
  if (proxies == 0) return;
  const bool remembered = now - this->proxy_count_since <=
                          this->settings.proxy_count_decrease_delay;
  if (proxies < this->proxy_count && remembered) return;
  this->proxy_count = proxies;
  this->proxy_count_since = now;
}

void FleetClient::Publish(steady_clock::time_point now) {
  const GatewayViewPtr view = MakeGatewayView(
      this->fleet, this->configuration,
      ProxyPeers{this->proxy_count, this->zone_proxies, this->settings.self});
  this->hooks.publish(view);
  std::vector<DatabaseStamp> stamps;
  for (const DatabaseTerm& entry : this->fleet.databases) {
    if (entry.phase != TermPhase::kSteady) continue;
    // A proxy that does not own the group has no sessions of it and
    // acknowledges nothing. Its lease would only delay a failover after this
    // proxy stopped.
    const auto item = view->groups.find(entry.database);
    if (item != view->groups.end() && !item->second.allocation.owner) continue;
    stamps.push_back({entry.database, entry.term, entry.members_revision});
  }
  this->holder->SetDatabases(now, std::move(stamps));
}

void FleetClient::OnRecall(steady_clock::time_point /*now*/, const NodeId& from,
                           const LeaseRecall& recall) {
  this->recall_requesters[recall.database] = from;
  this->hooks.recall(recall.database, recall.before_term, recall.patience);
}

void FleetClient::OnTrafficRecalled(steady_clock::time_point now,
                                    const DatabaseId& database,
                                    std::uint64_t before_term,
                                    const LogPosition& acknowledged) {
  this->current_time = now;
  this->recalled_position = acknowledged;
  this->holder->OnRelease(now, LeaseRelease{database, before_term});
}

void FleetClient::RequestPermits(PermitRequest request) {
  if (this->leader.Empty()) return;
  request.incarnation = this->incarnation;
  this->hooks.request_permits(this->leader, request);
}

void FleetClient::OnPermits(const PermitGrant& grant) {
  // Permits of another run of this proxy aren't this one's to use.
  if (grant.incarnation == this->incarnation) this->hooks.permits(grant);
}

void FleetClient::OnTick(steady_clock::time_point now) {
  this->current_time = now;
  const milliseconds limit = this->AnswerTimeout();
  const bool silent =
      now - this->last_answer > limit && now - this->last_switch > limit;
  if (silent) this->TryNextControlNode(now);
  if (this->in_contact &&
      now - this->last_answer > this->settings.contact_lost_timeout) {
    this->in_contact = false;
    this->hooks.events.record(Event{EventCode::kControlLost,
                                    EventLevel::kWarning,
                                    {{"node", this->leader.Value()}}});
  }
  if (now < this->next_report) return;
  const std::uint64_t before = this->sequence;
  const bool searches = this->SearchesForLeader(now);
  const bool urgent = this->unanswered > 1 || searches;
  if (urgent) {
    this->holder->RenewNow(now);
  } else {
    this->holder->OnTick(now);
  }
  if (this->sequence == before) this->SendReport(now, std::nullopt);
  if (searches) this->ReportToOtherNodes();
  this->next_report = now + (urgent ? this->settings.retry_interval
                                    : this->settings.report_interval);
}

milliseconds FleetClient::AnswerTimeout() const {
  return this->in_contact ? this->settings.answer_timeout
                          : this->settings.first_answer_timeout;
}

steady_clock::time_point FleetClient::NextWakeup() const {
  return std::min(this->next_report,
                  std::max(this->last_answer, this->last_switch) +
                      this->AnswerTimeout() + milliseconds(1));
}

void FleetClient::StartDraining(steady_clock::time_point now) {
  this->current_time = now;
  this->draining = true;
  this->SendReport(now, std::nullopt);
}

void FleetClient::ReleaseLeases(steady_clock::time_point now) {
  this->current_time = now;
  for (const DatabaseTerm& entry : this->fleet.databases) {
    this->recall_requesters[entry.database] = this->leader;
    this->hooks.recall(entry.database, entry.term + 1, milliseconds(0));
  }
}

}  // namespace lacewingferry
