#include "lacewingferry/decisions/switchover/fleet_control.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <utility>

#include "lacewingferry/decisions/switchover/successor_record.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** A longer interval between two ticks means that the process was suspended. */
constexpr milliseconds kSuspensionThreshold{400};
constexpr milliseconds kTickInterval{100};
/** The shortest interval between two rounds of updates to all proxies. */
constexpr milliseconds kUpdateInterval{50};
/** A leader whose process started less than this before may have started with
 * the whole fleet. */
constexpr milliseconds kFleetStart{5000};
/** After this many unanswered reports in a row the answers to a proxy are taken
 * for lost. */
constexpr std::uint32_t kUnansweredUntilRedial = 2;

}  // namespace

std::uint64_t PromotionCounts::Ended() const {
  std::uint64_t sum = 0;
  for (const auto& item : this->calls) sum += item.second;
  return sum;
}

std::uint64_t PromotionCounts::Ended(PromotionResult result) const {
  const auto found = this->calls.find(result);
  return found == this->calls.end() ? 0 : found->second;
}

FleetControl::FleetControl(const ControlState& control_state, NodeId self,
                           FleetControlHooks control_hooks,
                           FleetControlSettings control_settings)
    : state(control_state),
      hooks(std::move(control_hooks)),
      settings(control_settings),
      context{this->GroupHooks(),    this->settings.switchover,
              control_state.Terms(), control_state.CurrentRoster(),
              control_state.Ended(), std::move(self)},
      grantor(control_state.Terms(), this->settings.lease),
      permits(this->settings.permits, this->PermitHooks()),
      admission(control_state.CurrentRoster(), this->AdmissionHooks()),
      directory(this->settings.proxy_report_timeout),
      started_at(this->hooks.now()) {}

SwitchoverHooks FleetControl::GroupHooks() {
  SwitchoverHooks group_hooks;
  group_hooks.admin = this->hooks.admin;
  group_hooks.promotion = this->hooks.promotion;
  group_hooks.promotion_ended = [this](PromotionResult result) {
    ++this->promotions.calls[result];
  };
  group_hooks.unchosen_primary = [this] {
    ++this->promotions.unchosen_primaries;
  };
  group_hooks.propose = [this](const DatabaseCommand& command) {
    this->hooks.propose(ControlCommand{command}, [](bool) {});
  };
  group_hooks.cover = [this](const CoverEndedRuns& cover) {
    this->hooks.events.record(MakeCoverRecord(cover));
    this->hooks.propose(ControlCommand{cover}, [](bool) {});
  };
  group_hooks.all_reported_since = [this](steady_clock::time_point since,
                                          const DatabaseStamp& current) {
    return this->grantor.AllReportedSince(since, current);
  };
  group_hooks.recall = [this](const DatabaseStamp& current,
                              milliseconds drain_timeout) {
    this->Recall(current, drain_timeout);
  };
  group_hooks.leases_expire_at = [this](const DatabaseStamp& current) {
    return this->grantor.EarlierLeasesExpireAt(current);
  };
  group_hooks.leads = [this] { return this->leader && this->hooks.leads(); };
  group_hooks.fence = this->hooks.fence;
  group_hooks.now = this->hooks.now;
  group_hooks.events = this->hooks.events;
  return group_hooks;
}

RosterAdmissionHooks FleetControl::AdmissionHooks() const {
  RosterAdmissionHooks admission_hooks;
  admission_hooks.heard = [this](steady_clock::time_point now,
                                 const MemberAnnouncement& announcement) {
    const auto manager = this->managers.find(announcement.info.database);
    if (manager != this->managers.end()) {
      manager->second->OnAnnounced(now, announcement);
    }
  };
  admission_hooks.propose = this->hooks.propose;
  admission_hooks.events = this->hooks.events;
  return admission_hooks;
}

PermitGrantorHooks FleetControl::PermitHooks() const {
  PermitGrantorHooks permit_hooks;
  permit_hooks.lost = [this](const NodeId& proxy, std::uint64_t lost) {
    this->hooks.events.record(
        Event{EventCode::kPermitsLost,
              EventLevel::kInfo,
              {{"holder", proxy.Value()}, {"permits", std::to_string(lost)}}});
  };
  permit_hooks.limited = [this](const CustomerId& customer,
                                const RateLimit& limit, std::uint64_t out) {
    std::ostringstream rate;
    rate << limit.rate;
    std::ostringstream burst;
    burst << limit.burst;
    this->hooks.events.record(Event{EventCode::kCustomerLimited,
                                    EventLevel::kInfo,
                                    {{"customer", customer.Value()},
                                     {"rate", rate.str()},
                                     {"burst", burst.str()},
                                     {"permits", std::to_string(out)}}});
  };
  return permit_hooks;
}

void FleetControl::OnLeadership(steady_clock::time_point now, bool leads) {
  this->leader = leads;
  this->grantor.OnLeadership(now, leads);
  this->permits.OnLeadership(now, leads, this->hooks.fence());
  this->managers.clear();
  this->proxies.clear();
  this->directory.Reset(now, now - this->started_at < kFleetStart);
  if (leads) this->RecordWaits();
  this->last_tick.reset();
  this->update_pending = false;
  if (!leads) return;
  this->changes.Update(this->state.CurrentRoster(), this->state.Terms(),
                       this->hooks.revision());
  this->CreateGroupManagers(now);
}

/** Tells what a new leader waits out, since nobody tells it what its
 * predecessor granted. */
void FleetControl::RecordWaits() const {
  this->hooks.events.record(Event{
      EventCode::kFormerLeasesAwaited,
      EventLevel::kInfo,
      {{"leases_ms", std::to_string(this->settings.lease.duration.count())},
       {"permits_ms",
        std::to_string(this->settings.permits.duration.count())}}});
}

void FleetControl::SetConfiguration(ServiceConfiguration next) {
  this->configuration = std::move(next);
  this->configuration_transfer_time = TransferTime(this->configuration);
  this->permits.SetCustomers(this->hooks.now(), this->configuration.customers);
}

void FleetControl::CreateGroupManagers(steady_clock::time_point now) {
  for (const auto& item : this->state.CurrentRoster().Members()) {
    const DatabaseId& database = item.second.info.database;
    if (this->configuration.FindService(database) == nullptr) continue;
    if (this->managers.count(database) > 0) continue;
    const auto manager =
        std::make_shared<GroupManager>(this->context, database, now);
    this->managers[database] = manager;
    manager->OnStateChanged(now);
  }
}

void FleetControl::TrackChanges() {
  if (this->leader || !this->state_changed) return;
  this->state_changed = false;
  this->changes.Update(this->state.CurrentRoster(), this->state.Terms(),
                       this->hooks.revision());
}

void FleetControl::ProcessChanges(steady_clock::time_point now) {
  if (!this->leader || !this->state_changed) return;
  this->state_changed = false;
  this->changes.Update(this->state.CurrentRoster(), this->state.Terms(),
                       this->hooks.revision());
  this->CreateGroupManagers(now);
  for (const auto& item : this->managers) item.second->OnStateChanged(now);
  this->update_pending = true;
  if (now >= this->next_update) this->SendUpdates(now);
}

/** Sends the changes to all proxies. Changes in quick succession, as when all
 * members announce themselves, go out in one update. */
void FleetControl::SendUpdates(steady_clock::time_point now) {
  this->update_pending = false;
  this->next_update = now + kUpdateInterval;
  for (auto& [node, proxy] : this->proxies) {
    if (now - proxy.last_report > this->settings.proxy_report_timeout) continue;
    this->hooks.update(node, this->UpdateFor(now, &proxy));
  }
}

/** Tells all proxies the lists of their zones. Until they know them, proxies
 * that aren't owners serve nobody. */
void FleetControl::SendLists(steady_clock::time_point now) {
  for (auto& [node, proxy] : this->proxies) {
    const auto zone = this->directory.ProxiesIn(now, proxy.zone);
    if (!zone || zone->digest == proxy.zone_digest) continue;
    ProxyUpdate update = this->UpdateFor(now, &proxy);
    update.zone = zone;
    this->hooks.update(node, update);
  }
}

/** Builds an update of what the proxy lacks. The proxy then counts as up to
 * date; if the update is lost, its next report shows what it still lacks. */
ProxyUpdate FleetControl::UpdateFor(steady_clock::time_point now,
                                    Proxy* proxy) const {
  ProxyUpdate update;
  update.incarnation = proxy->incarnation;
  update.proxies = this->ProxyCount(now);
  update.control = this->hooks.control_nodes();
  if (proxy->fleet_revision < this->changes.Revision()) {
    update.fleet = this->changes.Since(proxy->fleet_revision);
    proxy->fleet_revision = this->changes.Revision();
  }
  const std::uint64_t version = this->configuration.version;
  if (proxy->configuration.IsDue(now, version)) {
    update.configuration = this->configuration;
    proxy->configuration.OnSent(now, version,
                                this->configuration_transfer_time);
  }
  return update;
}

/** Adds the positions of the databases for which the proxy requests leases, and
 * of those in a switchover, for which no lease is in force. */
void FleetControl::AddPositions(steady_clock::time_point now,
                                const NodeId& proxy,
                                ProxyUpdate* update) const {
  for (const auto& [database, manager] : this->managers) {
    const DatabaseTerm* entry = this->state.Terms().Find(database);
    const bool steady = entry != nullptr && entry->phase == TermPhase::kSteady;
    if (steady && !this->grantor.RequestsLease(proxy, database)) continue;
    const auto sample = manager->CurrentPosition(now);
    if (!sample) continue;
    update->positions.push_back(
        {database, sample->position,
         std::chrono::ceil<milliseconds>(now - sample->asked_at)});
  }
}

void FleetControl::OnReport(steady_clock::time_point now, const NodeId& from,
                            const ProxyReport& report) {
  if (!this->leader) return;
  Proxy& proxy = this->proxies[from];
  if (report.incarnation < proxy.incarnation) {
    // The incarnation comes from the clock, which was set back between two runs
    // of the proxy; the proxy then takes a higher one.
    ProxyUpdate reply;
    reply.incarnation = proxy.incarnation;
    this->hooks.update(from, reply);
    return;
  }
  if (report.incarnation > proxy.incarnation) proxy = Proxy{};
  proxy.incarnation = report.incarnation;
  proxy.configuration.OnReported(report.configuration_version);
  proxy.zone = report.zone;
  proxy.zone_digest = report.zone_digest;
  this->RedialIfAnswersLost(now, from, report, &proxy);
  proxy.last_report = now;
  proxy.fleet_revision = report.fleet_revision;
  proxy.draining = report.draining;
  ++proxy.answers_sent;
  ProxyUpdate update = this->UpdateFor(now, &proxy);
  update.sequence = report.sequence;
  this->directory.OnReport(now, from, report.zone, report.draining,
                           report.zone_digest != 0);
  const auto zone = this->directory.ProxiesIn(now, report.zone);
  if (zone && zone->digest != report.zone_digest) update.zone = zone;
  if (report.renewal) {
    update.grant = this->grantor.OnRenewal(now, from, *report.renewal);
  }
  this->AddPositions(now, from, &update);
  this->hooks.update(from, update);
}

/** Reopens the connection to a proxy if enough answers of this leader did not
 * reach it. Reports that the proxy sent before this process led or started had
 * no answer either, which says nothing about the connection. */
void FleetControl::RedialIfAnswersLost(steady_clock::time_point now,
                                       const NodeId& node,
                                       const ProxyReport& report,
                                       Proxy* proxy) {
  const bool answers_lost = report.unanswered >= kUnansweredUntilRedial &&
                            proxy->answers_sent >= kUnansweredUntilRedial;
  if (!answers_lost || proxy->configuration.IsUnderWay(now)) return;
  proxy->answers_sent = 0;
  proxy->configuration.OnReopened();
  this->hooks.redial(node);
}

void FleetControl::Recall(const DatabaseStamp& current,
                          milliseconds drain_timeout) {
  const LeaseRecall recall{current.database, current.term, drain_timeout};
  for (const NodeId& holder :
       this->grantor.EarlierHolders(this->hooks.now(), current)) {
    this->hooks.recall(holder, recall);
  }
}

void FleetControl::OnRecalled(steady_clock::time_point now, const NodeId& from,
                              const LeaseRecalled& recalled) {
  if (!this->leader) return;
  this->grantor.OnReleased(now, from, recalled.released);
  const auto manager = this->managers.find(recalled.released.database);
  if (manager == this->managers.end()) return;
  manager->second->OnAcknowledged(recalled.acknowledged);
  manager->second->OnTick(now);
  this->ProcessChanges(now);
}

void FleetControl::OnPermitRequest(steady_clock::time_point now,
                                   const NodeId& from,
                                   const PermitRequest& request) {
  const auto grant = this->permits.OnRequest(now, from, request);
  if (grant) this->hooks.permits(from, *grant);
}

void FleetControl::OnAnnouncement(
    steady_clock::time_point now, const MemberAnnouncement& announcement,
    std::function<void(AnnouncementResult)> done) {
  if (!this->leader) {
    done(AnnouncementResult::kUnknown);
    return;
  }
  this->admission.OnAnnouncement(now, this->configuration, announcement,
                                 std::move(done));
  this->ProcessChanges(now);
}

void FleetControl::OnDeregistration(
    steady_clock::time_point now, const MemberFarewell& farewell,
    std::function<void(AnnouncementResult)> done) {
  this->admission.OnFarewell(now, farewell, std::move(done));
  this->ProcessChanges(now);
}

void FleetControl::DetectSuspension(steady_clock::time_point now) {
  if (this->last_tick && now - *this->last_tick > kSuspensionThreshold) {
    for (const auto& item : this->managers) item.second->OnSuspended();
  }
  this->last_tick = now;
}

void FleetControl::OnTick(steady_clock::time_point now) {
  if (!this->leader) return;
  this->DetectSuspension(now);
  this->directory.DropSilent(now);
  this->permits.OnTick(now);
  this->ProcessChanges(now);
  for (const auto& item : this->managers) {
    if (item.second->NextWakeup() <= now) item.second->OnTick(now);
  }
  this->ProcessChanges(now);
  if (this->update_pending && now >= this->next_update) this->SendUpdates(now);
  if (this->directory.TakeCompleted(now)) this->SendLists(now);
}

std::optional<steady_clock::time_point> FleetControl::NextWakeup() const {
  if (!this->leader) return std::nullopt;
  if (this->state_changed) return steady_clock::time_point::min();
  steady_clock::time_point next =
      this->last_tick.value_or(steady_clock::time_point::min()) + kTickInterval;
  for (const auto& item : this->managers) {
    next = std::min(next, item.second->NextWakeup());
  }
  if (this->update_pending) next = std::min(next, this->next_update);
  return next;
}

std::uint32_t FleetControl::ProxyCount(steady_clock::time_point now) const {
  std::uint32_t count = 0;
  for (const auto& item : this->proxies) {
    const bool silent =
        now - item.second.last_report > this->settings.proxy_report_timeout;
    count += !silent && !item.second.draining;
  }
  return count;
}

}  // namespace lacewingferry
