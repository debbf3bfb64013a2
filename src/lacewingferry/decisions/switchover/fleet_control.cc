#include "lacewingferry/decisions/switchover/fleet_control.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Between two ticks there is less than this unless the process stood still. */
constexpr milliseconds kLongestCalmPause{400};
constexpr milliseconds kTick{100};
/** Between two rounds of news to all proxies. */
constexpr milliseconds kNewsPause{50};
/** A proxy that hasn't got so many answers in a row doesn't get them. */
constexpr std::uint32_t kUnansweredUntilRedial = 2;

}  // namespace

FleetControl::FleetControl(const ControlState& control_state, NodeId self,
                           FleetControlHooks control_hooks,
                           FleetControlSettings control_settings)
    : state(control_state),
      hooks(std::move(control_hooks)),
      settings(control_settings),
      context{this->GroupHooks(), this->settings.switchover,
              control_state.Terms(), control_state.CurrentRoster(),
              std::move(self)},
      grantor(control_state.Terms(), this->settings.lease),
      directory(this->settings.proxy_silence) {}

SwitchoverHooks FleetControl::GroupHooks() {
  SwitchoverHooks group;
  group.admin = this->hooks.admin;
  group.promotion = this->hooks.promotion;
  group.propose = [this](const DatabaseCommand& command) {
    this->hooks.propose(ControlCommand{command}, [](bool) {});
  };
  group.recall = [this](const DatabaseStamp& current, milliseconds patience) {
    this->Recall(current, patience);
  };
  group.free_at = [this](const DatabaseStamp& current) {
    return this->grantor.EarlierLeasesExpireAt(current);
  };
  group.leads = [this] { return this->leader && this->hooks.leads(); };
  group.fence = this->hooks.fence;
  group.now = this->hooks.now;
  group.events = this->hooks.events;
  return group;
}

void FleetControl::OnLeadership(steady_clock::time_point now, bool leads) {
  this->leader = leads;
  this->grantor.OnLeadership(now, leads);
  this->keepers.clear();
  this->proxies.clear();
  this->directory.Restart(now);
  this->last_tick.reset();
  this->news_waits = false;
  if (!leads) return;
  this->changes.Update(this->state.CurrentRoster(), this->state.Terms(),
                       this->hooks.revision());
  this->MakeKeepers(now);
}

void FleetControl::SetConfiguration(ServiceConfiguration next) {
  this->configuration = std::move(next);
}

void FleetControl::MakeKeepers(steady_clock::time_point now) {
  for (const auto& item : this->state.CurrentRoster().Members()) {
    const DatabaseId& database = item.second.info.database;
    if (this->configuration.FindService(database) == nullptr) continue;
    if (this->keepers.count(database) > 0) continue;
    const auto keeper =
        std::make_shared<GroupKeeper>(this->context, database, now);
    this->keepers[database] = keeper;
    keeper->OnChanged(now);
  }
}

void FleetControl::FollowChanges() {
  if (this->leader || !this->changed) return;
  this->changed = false;
  this->changes.Update(this->state.CurrentRoster(), this->state.Terms(),
                       this->hooks.revision());
}

void FleetControl::TakeChanges(steady_clock::time_point now) {
  if (!this->leader || !this->changed) return;
  this->changed = false;
  this->changes.Update(this->state.CurrentRoster(), this->state.Terms(),
                       this->hooks.revision());
  this->MakeKeepers(now);
  for (const auto& item : this->keepers) item.second->OnChanged(now);
  this->news_waits = true;
  if (now >= this->next_news) this->SendNews(now);
}

/** Tells all proxies what changed. Where changes follow each other closely, as
 * when all members announce themselves, several go out together. */
void FleetControl::SendNews(steady_clock::time_point now) {
  this->news_waits = false;
  this->next_news = now + kNewsPause;
  for (auto& [node, proxy] : this->proxies) {
    if (now - proxy.heard > this->settings.proxy_silence) continue;
    this->hooks.update(node, this->NewsFor(now, &proxy));
  }
}

/** What the proxy lacks. It counts as told; where the news is lost, its next
 * report says so. */
ProxyUpdate FleetControl::NewsFor(steady_clock::time_point now,
                                  Proxy* proxy) const {
  ProxyUpdate update;
  update.incarnation = proxy->incarnation;
  update.proxies = this->ProxyCount(now);
  update.control = this->hooks.control_nodes();
  if (proxy->fleet_revision < this->changes.Revision()) {
    update.fleet = this->changes.Since(proxy->fleet_revision);
    proxy->fleet_revision = this->changes.Revision();
  }
  if (proxy->configuration_version < this->configuration.version) {
    update.configuration = this->configuration;
    proxy->configuration_version = this->configuration.version;
  }
  return update;
}

/** A proxy gets the positions of the databases whose sessions it serves, and of
 * those for which nobody has a lease at the moment. */
void FleetControl::AddPositions(steady_clock::time_point now,
                                const NodeId& proxy,
                                ProxyUpdate* update) const {
  for (const auto& [database, keeper] : this->keepers) {
    const DatabaseTerm* entry = this->state.Terms().Find(database);
    const bool steady = entry != nullptr && entry->phase == TermPhase::kSteady;
    if (steady && !this->grantor.RequestsLease(proxy, database)) continue;
    const auto sample = keeper->Sample(now);
    if (!sample) continue;
    update->positions.push_back(
        {database, sample->position,
         std::chrono::ceil<milliseconds>(now - sample->asked)});
  }
}

void FleetControl::OnReport(steady_clock::time_point now, const NodeId& from,
                            const ProxyReport& report) {
  if (!this->leader) return;
  Proxy& proxy = this->proxies[from];
  if (report.incarnation < proxy.incarnation) {
    // Its clock went back between two runs; it takes a later number.
    ProxyUpdate later;
    later.incarnation = proxy.incarnation;
    this->hooks.update(from, later);
    return;
  }
  this->RedialIfUnheard(from, report, &proxy);
  proxy = Proxy{report.incarnation,    now,
                report.fleet_revision, report.configuration_version,
                report.draining,       proxy.answers + 1};
  ProxyUpdate update = this->NewsFor(now, &proxy);
  update.sequence = report.sequence;
  this->directory.OnReport(now, from, report.zone, report.draining);
  const auto zone = this->directory.Of(now, report.zone);
  if (zone && zone->digest != report.zone_digest) update.zone = zone;
  if (report.renewal) {
    update.grant = this->grantor.OnRenewal(now, from, *report.renewal);
  }
  this->AddPositions(now, from, &update);
  this->hooks.update(from, update);
}

/** A proxy may have asked in vain before this process led, or before it
 * started; that says nothing of the connection. */
void FleetControl::RedialIfUnheard(const NodeId& node,
                                   const ProxyReport& report, Proxy* proxy) {
  const bool unheard = report.unanswered >= kUnansweredUntilRedial &&
                       proxy->answers >= kUnansweredUntilRedial;
  if (!unheard) return;
  proxy->answers = 0;
  this->hooks.redial(node);
}

void FleetControl::Recall(const DatabaseStamp& current, milliseconds patience) {
  const LeaseRecall recall{current.database, current.term, patience};
  for (const NodeId& holder :
       this->grantor.EarlierHolders(this->hooks.now(), current)) {
    this->hooks.recall(holder, recall);
  }
}

void FleetControl::OnRecalled(steady_clock::time_point now, const NodeId& from,
                              const LeaseRecalled& recalled) {
  if (!this->leader) return;
  this->grantor.OnReleased(now, from, recalled.released);
  const auto keeper = this->keepers.find(recalled.released.database);
  if (keeper == this->keepers.end()) return;
  keeper->second->OnAcknowledged(recalled.acknowledged);
  keeper->second->OnTick(now);
  this->TakeChanges(now);
}

void FleetControl::OnAnnouncement(
    steady_clock::time_point now, const MemberAnnouncement& announcement,
    std::function<void(AnnouncementVerdict)> done) {
  if (!this->leader) {
    done(AnnouncementVerdict::kUnknown);
    return;
  }
  const Roster& roster = this->state.CurrentRoster();
  if (roster.IsOutdated(announcement)) {
    this->hooks.events.record(
        Event{EventCode::kAnnouncementRejected,
              EventLevel::kWarning,
              {{"member", announcement.info.id.Value()},
               {"incarnation", std::to_string(announcement.incarnation)},
               {"reason", "an earlier run of the member or the address"}}});
    done(AnnouncementVerdict::kOutdated);
    return;
  }
  if (!roster.WouldChange(announcement)) {
    done(AnnouncementVerdict::kAccepted);
    return;
  }
  this->hooks.events.record(
      Event{EventCode::kMemberAnnounced,
            EventLevel::kInfo,
            {{"member", announcement.info.id.Value()},
             {"database", announcement.info.database.Value()},
             {"leaving", announcement.info.leaving ? "yes" : "no"},
             {"sequence", std::to_string(announcement.sequence)},
             {"incarnation", std::to_string(announcement.incarnation)}}});
  this->hooks.propose(ControlCommand{RosterCommand{EnterMember{announcement}}},
                      [done = std::move(done)](bool applied) {
                        done(applied ? AnnouncementVerdict::kAccepted
                                     : AnnouncementVerdict::kUnknown);
                      });
  this->TakeChanges(now);
}

void FleetControl::OnFarewell(steady_clock::time_point now,
                              const MemberId& member,
                              std::function<void(AnnouncementVerdict)> done) {
  const MemberAnnouncement* known = this->state.CurrentRoster().Find(member);
  if (known == nullptr) {
    done(AnnouncementVerdict::kAccepted);
    return;
  }
  this->hooks.events.record(
      Event{EventCode::kMemberLost,
            EventLevel::kInfo,
            {{"member", member.Value()}, {"reason", "it said that it left"}}});
  this->hooks.propose(
      ControlCommand{RosterCommand{LeaveMember{member, known->incarnation}}},
      [done = std::move(done)](bool applied) {
        done(applied ? AnnouncementVerdict::kAccepted
                     : AnnouncementVerdict::kUnknown);
      });
  this->TakeChanges(now);
}

void FleetControl::NoteSuspension(steady_clock::time_point now) {
  if (this->last_tick && now - *this->last_tick > kLongestCalmPause) {
    for (const auto& item : this->keepers) item.second->OnSuspended();
  }
  this->last_tick = now;
}

void FleetControl::OnTick(steady_clock::time_point now) {
  if (!this->leader) return;
  this->NoteSuspension(now);
  this->directory.DropSilent(now);
  this->TakeChanges(now);
  for (const auto& item : this->keepers) {
    if (item.second->NextWakeup() <= now) item.second->OnTick(now);
  }
  this->TakeChanges(now);
  if (this->news_waits && now >= this->next_news) this->SendNews(now);
}

std::optional<steady_clock::time_point> FleetControl::NextWakeup() const {
  if (!this->leader) return std::nullopt;
  if (this->changed) return steady_clock::time_point::min();
  steady_clock::time_point next =
      this->last_tick.value_or(steady_clock::time_point::min()) + kTick;
  for (const auto& item : this->keepers) {
    next = std::min(next, item.second->NextWakeup());
  }
  if (this->news_waits) next = std::min(next, this->next_news);
  return next;
}

std::uint32_t FleetControl::ProxyCount(steady_clock::time_point now) const {
  std::uint32_t count = 0;
  for (const auto& item : this->proxies) {
    const bool silent = now - item.second.heard > this->settings.proxy_silence;
    count += !silent && !item.second.draining;
  }
  return count;
}

}  // namespace lacewingferry
