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

/** Reports whose answers may still come. */
constexpr std::size_t kMostSent = 32;

}  // namespace

FleetClient::FleetClient(FleetClientHooks client_hooks,
                         FleetClientSettings client_settings, std::uint64_t run)
    : hooks(std::move(client_hooks)),
      settings(std::move(client_settings)),
      incarnation(run) {}

void FleetClient::MakeHolder() {
  LeaseHolderHooks holder_hooks;
  holder_hooks.send_renewal = [this](const LeaseRenewal& renewal) {
    this->SendReport(this->present, renewal);
  };
  holder_hooks.send_released = [this](const LeaseReleased& released) {
    const auto asked = this->recallers.find(released.database);
    const bool known = asked != this->recallers.end();
    this->hooks.recalled(known ? asked->second : this->leader,
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
  this->present = now;
  this->MakeHolder();
  this->last_answer = now;
  this->last_switch = now;
  this->next_report = now;
  this->control = this->hooks.seeds();
  this->TryNextNode(now);
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
  report.zone_digest = this->neighbours.digest;
  report.unanswered = this->unanswered++;
  report.renewal = std::move(renewal);
  this->sent[report.sequence] = now;
  if (this->sent.size() > kMostSent) this->sent.erase(this->sent.begin());
  this->hooks.report(this->leader, report);
  this->newest_report = std::move(report);
}

/** Whether nobody is known to lead control. */
bool FleetClient::Searches(steady_clock::time_point now) const {
  return !this->in_contact ||
         now - this->last_answer > this->settings.answer_limit;
}

/** Only the leader answers a report, so all may be asked the same. */
void FleetClient::AskOthers() {
  for (const NodeId& node : this->KnownNodes()) {
    if (node != this->leader) this->hooks.report(node, this->newest_report);
  }
}

std::vector<NodeId> FleetClient::KnownNodes() const {
  std::vector<NodeId> nodes = this->control;
  for (const NodeId& seed : this->hooks.seeds()) {
    if (std::find(nodes.begin(), nodes.end(), seed) == nodes.end()) {
      nodes.push_back(seed);
    }
  }
  return nodes;
}

void FleetClient::TryNextNode(steady_clock::time_point now) {
  const std::vector<NodeId> nodes = this->KnownNodes();
  if (nodes.empty()) return;
  if (!this->leader.Empty()) this->hooks.redial(this->leader);
  this->leader = nodes[this->next_node++ % nodes.size()];
  this->last_switch = now;
  this->next_report = now;
}

void FleetClient::OnRedirect(steady_clock::time_point now,
                             const ControlRedirect& redirect) {
  this->present = now;
  if (redirect.leader.Empty() || redirect.leader == this->leader) return;
  this->leader = redirect.leader;
  this->last_switch = now;
  this->next_report = now;
  this->holder->RenewNow(now);
}

void FleetClient::NoteAnswer(steady_clock::time_point now, const NodeId& from) {
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
  this->present = now;
  if (update.incarnation > this->incarnation) {
    this->incarnation = update.incarnation + 1;
    this->MakeHolder();
    this->Publish(now);
    return;
  }
  if (update.incarnation < this->incarnation) return;
  const auto asked = this->sent.find(update.sequence);
  if (asked != this->sent.end()) {
    const steady_clock::time_point at = asked->second;
    this->sent.erase(this->sent.begin(), std::next(asked));
    this->NoteAnswer(now, from);
    for (const PrimaryPosition& sample : update.positions) {
      const auto age = sample.age + sample.age / kClockDriftParts;
      this->hooks.position(sample.database, at - age, sample.position);
    }
  }
  if (!update.control.empty()) this->control = update.control;
  const std::uint32_t share_before = this->share;
  this->TakeShare(now, update.proxies);
  bool changed = this->share != share_before;
  if (update.zone) {
    this->neighbours = *update.zone;
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
  // The lease first: a term that traffic hears of has its lease with it.
  if (update.grant) this->holder->OnGrant(now, *update.grant);
  if (changed) this->Publish(now);
}

void FleetClient::TakeShare(steady_clock::time_point now,
                            std::uint32_t proxies) {
  if (proxies == 0) return;
  const bool remembered =
      now - this->share_since <= this->settings.share_memory;
  if (proxies < this->share && remembered) return;
  this->share = proxies;
  this->share_since = now;
}

void FleetClient::Publish(steady_clock::time_point now) {
  const GatewayViewPtr view = MakeGatewayView(
      this->fleet, this->configuration,
      ProxyPlace{this->share, this->neighbours, this->settings.self});
  this->hooks.publish(view);
  std::vector<DatabaseStamp> stamps;
  for (const DatabaseTerm& entry : this->fleet.databases) {
    if (entry.phase != TermPhase::kSteady) continue;
    // Without sessions there is nothing to acknowledge, and a lease would
    // only be waited for when this proxy is gone.
    const auto group = view->groups.find(entry.database);
    if (group != view->groups.end() && !group->second.deal.owner) continue;
    stamps.push_back({entry.database, entry.term, entry.members_revision});
  }
  this->holder->SetDatabases(now, std::move(stamps));
}

void FleetClient::OnRecall(steady_clock::time_point /*now*/, const NodeId& from,
                           const LeaseRecall& recall) {
  this->recallers[recall.database] = from;
  this->hooks.recall(recall.database, recall.before_term, recall.patience);
}

void FleetClient::OnTrafficRecalled(steady_clock::time_point now,
                                    const DatabaseId& database,
                                    std::uint64_t before_term,
                                    const LogPosition& acknowledged) {
  this->present = now;
  this->recalled_position = acknowledged;
  this->holder->OnRelease(now, LeaseRelease{database, before_term});
}

void FleetClient::OnTick(steady_clock::time_point now) {
  this->present = now;
  const milliseconds limit = this->AnswerLimit();
  const bool silent =
      now - this->last_answer > limit && now - this->last_switch > limit;
  if (silent) this->TryNextNode(now);
  if (this->in_contact && now - this->last_answer > this->settings.lost_after) {
    this->in_contact = false;
    this->hooks.events.record(Event{EventCode::kControlLost,
                                    EventLevel::kWarning,
                                    {{"node", this->leader.Value()}}});
  }
  if (now < this->next_report) return;
  const std::uint64_t before = this->sequence;
  const bool searches = this->Searches(now);
  const bool urgent = this->unanswered > 1 || searches;
  if (urgent) {
    this->holder->RenewNow(now);
  } else {
    this->holder->OnTick(now);
  }
  if (this->sequence == before) this->SendReport(now, std::nullopt);
  if (searches) this->AskOthers();
  this->next_report = now + (urgent ? this->settings.retry_interval
                                    : this->settings.report_interval);
}

milliseconds FleetClient::AnswerLimit() const {
  return this->in_contact ? this->settings.answer_limit
                          : this->settings.first_answer_limit;
}

steady_clock::time_point FleetClient::NextWakeup() const {
  return std::min(this->next_report,
                  std::max(this->last_answer, this->last_switch) +
                      this->AnswerLimit() + milliseconds(1));
}

void FleetClient::StartDraining(steady_clock::time_point now) {
  this->present = now;
  this->draining = true;
  this->SendReport(now, std::nullopt);
}

void FleetClient::Leave(steady_clock::time_point now) {
  this->present = now;
  for (const DatabaseTerm& entry : this->fleet.databases) {
    this->recallers[entry.database] = this->leader;
    this->hooks.recall(entry.database, entry.term + 1, milliseconds(0));
  }
}

}  // namespace lacewingferry
