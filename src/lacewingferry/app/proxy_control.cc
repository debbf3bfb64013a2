#include "lacewingferry/app/proxy_control.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "lacewingferry/app/rejected_message.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/configuration/configured_view.h"
#include "lacewingferry/decisions/failover/member_command_statement.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Changes that come within this time make one new view. */
constexpr milliseconds kPublishDelay{5};
/** How often control is told which configuration is in force here; it answers
 * with a newer one. */
constexpr milliseconds kReportInterval{1000};
/** How long a probe of a member may take. */
constexpr milliseconds kProbeTimeout{200};

}  // namespace

ProxyControl::ProxyControl(ProxySettings proxy_settings,
                           std::uint64_t run_incarnation,
                           ProxyControlHooks control_hooks)
    : settings(std::move(proxy_settings)),
      incarnation(run_incarnation),
      hooks(std::move(control_hooks)),
      membership(this->MembershipParts(), this->MembershipEffects()),
      configuration([this](const ConfigurationHolder::ConfigurationPtr& taken) {
        this->seats.OnConfiguration(this->hooks.now(), *taken);
        this->Publish(this->hooks.now());
      }),
      failover(this->FailoverParts(), this->FailoverTimes()),
      seats(this->hooks.now(), this->SeatParts(), this->SeatEffects()) {}

ProxySeatsSettings ProxyControl::SeatParts() const {
  ProxySeatsSettings parts;
  parts.self = this->settings.node;
  parts.incarnation = this->incarnation;
  parts.threads = this->settings.traffic_threads;
  return parts;
}

ProxySeatsHooks ProxyControl::SeatEffects() {
  return ProxySeatsHooks{
      [this](const NodeId& to, const PeerBody& body) {
        this->SendToProxy(to, body);
      },
      [this](const SeatTablePtr& table) { this->hooks.publish_seats(table); }};
}

void ProxyControl::SendToProxy(const NodeId& to, const PeerBody& body) {
  const auto& proxies = this->configuration.Current()->proxies;
  const auto found = proxies.find(to);
  const std::string& url =
      found == proxies.end() ? this->heard_from[to] : found->second.peer_url;
  if (!url.empty()) this->hooks.send(url, body);
}

MembershipSettings ProxyControl::MembershipParts() const {
  MembershipSettings membership_parts;
  membership_parts.self = ProxyInfo{this->settings.node, this->settings.zone,
                                    this->settings.peer_url, false};
  membership_parts.role = NodeRole::kProxy;
  membership_parts.incarnation = this->incarnation;
  membership_parts.random_seed = this->incarnation;
  for (const PeerAddress& peer : this->settings.peers) {
    if (peer.url != this->settings.peer_url) {
      membership_parts.seeds.push_back(peer.url);
    }
  }
  for (const PeerAddress& replica : this->settings.control) {
    membership_parts.seeds.push_back(replica.url);
  }
  return membership_parts;
}

MembershipHooks ProxyControl::MembershipEffects() {
  MembershipHooks effects;
  effects.send = [this](const std::string& url, const PeerBody& body) {
    this->hooks.send(url, body);
  };
  effects.changed = [this](const MembershipRecord& record) {
    this->OnRecord(record);
  };
  return effects;
}

void ProxyControl::OnRecord(const MembershipRecord& record) {
  this->next_publish =
      std::min(this->next_publish, this->hooks.now() + kPublishDelay);
  const auto* member = std::get_if<MemberAnnouncement>(&record.subject);
  if (member == nullptr) return;
  this->hooks.events.record(
      Event{record.gone ? EventCode::kMemberLost : EventCode::kMemberAnnounced,
            record.gone ? EventLevel::kWarning : EventLevel::kInfo,
            {{"member", member->info.id.Value()}}});
}

ProxyFailoverSettings ProxyControl::FailoverTimes() const {
  ProxyFailoverSettings times;
  times.self = this->settings.node;
  times.incarnation = this->incarnation;
  for (const PeerAddress& replica : this->settings.control) {
    times.control.push_back(replica.id);
  }
  return times;
}

ProxyFailoverHooks ProxyControl::FailoverParts() {
  ProxyFailoverHooks parts;
  parts.send = [this](const NodeId& to, const PeerBody& body) {
    this->SendToControl(to, body);
  };
  parts.run_command =
      [this](steady_clock::time_point, const MemberCommand& command,
             const ProxyFailoverHooks::CommandResultHook& on_result) {
        this->RunCommand(command, on_result);
      };
  parts.probe = [this](steady_clock::time_point, const MemberInfo& member,
                       const PrimaryObserverHooks::ProbeResultHook& on_sight) {
    this->Probe(member, on_sight);
  };
  parts.probe_server =
      [this](steady_clock::time_point, const MemberInfo& member,
             const PrimaryObserverHooks::ProbeResultHook& on_sight) {
        this->ProbeMemberServer(member, on_sight);
      };
  parts.on_lease = [this](steady_clock::time_point, const DatabaseStamp& stamp,
                          steady_clock::time_point until) {
    this->hooks.lease(stamp.database, until);
  };
  parts.release_term = [this](steady_clock::time_point,
                              const DatabaseId& database, std::uint64_t term) {
    this->hooks.release(database, term);
  };
  parts.changed = [this](steady_clock::time_point now) { this->Publish(now); };
  return parts;
}

void ProxyControl::SendToControl(const NodeId& to, const PeerBody& body) {
  for (const PeerAddress& replica : this->settings.control) {
    if (replica.id != to) continue;
    if (const auto* released = std::get_if<LeaseReleased>(&body)) {
      this->hooks.send_released(replica.url, *released);
    } else {
      this->hooks.send(replica.url, body);
    }
  }
}

void ProxyControl::RunCommand(
    const MemberCommand& command,
    const ProxyFailoverHooks::CommandResultHook& on_result) {
  this->hooks.run_statement(
      command.database, command.member.id, BuildMemberStatement(command),
      this->hooks.now() + command.timeout,
      [this, command, on_result](const std::optional<MemberResult>& result) {
        on_result(this->hooks.now(), ReadMemberCommandResult(command, result));
      });
}

void ProxyControl::Probe(
    const MemberInfo& member,
    const PrimaryObserverHooks::ProbeResultHook& on_sight) {
  this->hooks.run_statement(
      member.database, member.id, MemberStatement{MemberStatementKind::kState},
      this->hooks.now() + kProbeTimeout,
      [this, id = member.id,
       on_sight](const std::optional<MemberResult>& result) {
        if (result) {
          on_sight(this->hooks.now(), MemberSight::kAnswers);
        } else if (this->last_signs[id] == MemberObservation::kRefused) {
          on_sight(this->hooks.now(), MemberSight::kRefuses);
        }
      });
}

void ProxyControl::ProbeMemberServer(
    const MemberInfo& member,
    const PrimaryObserverHooks::ProbeResultHook& on_sight) {
  this->hooks.probe_server(member.endpoint, kProbeTimeout,
                           [this, on_sight](MemberSight sight) {
                             // Silence is for the observer to decide, by its
                             // own timeout.
                             if (sight != MemberSight::kSilent)
                               on_sight(this->hooks.now(), sight);
                           });
}

std::string ProxyControl::Announce(const MemberAnnouncement& announcement) {
  try {
    this->membership.OnAnnouncement(this->hooks.now(), announcement);
  } catch (const UserError& error) {
    this->hooks.events.record(Event{EventCode::kAnnouncementRejected,
                                    EventLevel::kWarning,
                                    {{"reason", error.what()}}});
    return error.what();
  }
  return "";
}

void ProxyControl::OnMessage(const PeerMessage& message) {
  try {
    this->Dispatch(message);
  } catch (const UserError& error) {
    this->hooks.events.record(MakeRejectedMessage(message.from, error.what()));
  }
}

void ProxyControl::Dispatch(const PeerMessage& message) {
  const auto now = this->hooks.now();
  this->membership.OnContact(now, message.from, message.from_url);
  if (this->membership.OnMessage(now, message)) return;
  if (std::holds_alternative<SeatClaim>(message.body)) {
    this->heard_from[message.from] = message.from_url;
  }
  if (this->seats.OnMessage(now, message.from, message.body)) return;
  if (const auto* offer = std::get_if<ConfigurationOffer>(&message.body)) {
    this->configuration.OfferConfiguration(offer->configuration);
    this->SendToControl(
        message.from,
        ConfigurationReport{this->incarnation,
                            this->configuration.Current()->revision});
  } else {
    this->failover.OnMessage(now, message.from, message.body);
  }
}

void ProxyControl::OnSign(steady_clock::time_point now, const MemberId& member,
                          MemberObservation sign) {
  this->last_signs[member] = sign;
  this->failover.OnSign(now, member, sign);
}

void ProxyControl::ReportConfiguration(steady_clock::time_point now) {
  this->next_report = now + kReportInterval;
  const ConfigurationReport report{this->incarnation,
                                   this->configuration.Current()->revision};
  for (const PeerAddress& replica : this->settings.control) {
    this->hooks.send(replica.url, report);
  }
}

void ProxyControl::Publish(steady_clock::time_point now) {
  this->next_publish = steady_clock::time_point::max();
  auto view = std::make_shared<RoutingView>(this->membership.BuildView(now));
  ApplyConfiguration(*this->configuration.Current(), *view);
  this->failover.Overlay(*view);
  this->RecordNewPrimaries(*view);
  this->hooks.publish(view);
  this->seats.OnView(now, *view);
  this->failover.OnView(now, *view);
}

void ProxyControl::RecordNewPrimaries(const RoutingView& view) {
  for (const auto& entry : view.databases) {
    const DatabaseView& database = entry.second;
    std::uint64_t& routed = this->routed_terms[entry.first];
    if (database.primary.Empty() || database.term <= routed) continue;
    routed = database.term;
    this->hooks.events.record(Event{EventCode::kPrimaryRouted,
                                    EventLevel::kInfo,
                                    {{"database", entry.first.Value()},
                                     {"term", std::to_string(database.term)},
                                     {"member", database.primary.Value()}}});
  }
}

void ProxyControl::StartDraining() {
  this->membership.StartDraining(this->hooks.now());
}

void ProxyControl::Leave() {
  this->failover.ReleaseAll(this->hooks.now());
  this->membership.Leave(this->hooks.now());
}

void ProxyControl::OnTick() {
  const auto now = this->hooks.now();
  this->membership.OnTick(now);
  if (now >= this->next_report) this->ReportConfiguration(now);
  this->failover.OnTick(now);
  this->seats.OnTick(now);
  if (now >= this->next_publish) this->Publish(now);
}

steady_clock::time_point ProxyControl::NextWakeup() const {
  const auto due = this->failover.NextWakeup();
  const auto next =
      std::min({this->membership.NextWakeup(), this->seats.NextWakeup(),
                this->next_report, this->next_publish});
  return due ? std::min(*due, next) : next;
}

}  // namespace lacewingferry
