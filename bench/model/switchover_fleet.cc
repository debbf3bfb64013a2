#include "bench/model/switchover_fleet.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kReportInterval{500};
constexpr milliseconds kTick{10};
constexpr milliseconds kLag{10};

}  // namespace

SwitchoverFleet::SwitchoverFleet(std::size_t member_count,
                                 std::size_t proxy_count) {
  for (std::size_t i = 0; i < member_count; ++i) {
    const std::string host = "m" + std::to_string(i);
    SwitchoverMember& member = this->members[MemberId(host)];
    member.primary = i == 0;
    member.host = host;
  }
  for (std::size_t i = 0; i < proxy_count; ++i) {
    this->proxies[NodeId("p" + std::to_string(i))];
  }
  this->control = std::make_unique<FleetControl>(this->state, NodeId("control"),
                                                 this->Hooks());
  ServiceConfiguration configuration;
  configuration.version = 1;
  configuration.services = {{kSwitchoverDatabase, 60, 1}};
  this->control->SetConfiguration(configuration);
  this->Tick();
}

FleetControlHooks SwitchoverFleet::Hooks() {
  FleetControlHooks hooks;
  hooks.update = [this](const NodeId& to, const ProxyUpdate& update) {
    SwitchoverProxy& proxy = this->proxies.at(to);
    if (update.configuration) {
      this->sent_configurations.push_back(update.configuration->version);
    }
    const bool granted = update.grant && update.grant->refused.empty() &&
                         update.grant->duration.count() > 0;
    if (!proxy.reachable || !granted) return;
    proxy.leased_until = this->queue.Now() + update.grant->duration;
  };
  hooks.recall = [this](const NodeId& to, const LeaseRecall& recall) {
    this->queue.After(kSwitchoverWay, [this, to, recall] {
      SwitchoverProxy& proxy = this->proxies.at(to);
      if (!proxy.reachable) return;
      proxy.leased_until.reset();
      const LeaseRecalled recalled{
          {recall.database, recall.before_term, proxy.run}, proxy.acknowledged};
      this->queue.After(kSwitchoverWay, [this, to, recalled] {
        this->control->OnRecalled(this->queue.Now(), to, recalled);
      });
    });
  };
  hooks.redial = [this](const NodeId&) { ++this->redials; };
  hooks.propose = [this](const ControlCommand& command,
                         std::function<void(bool)> done) {
    this->queue.After(kSwitchoverCommitTime, [this, command, done] {
      this->state.Apply(command, this->next_index++);
      this->control->OnApplied();
      done(true);
    });
  };
  hooks.control_nodes = [] { return std::vector<NodeId>{NodeId("control")}; };
  hooks.revision = [this] { return this->state.LastIndex(); };
  hooks.leads = [this] { return this->leads; };
  hooks.fence = [this] { return this->fence; };
  hooks.now = [this] { return this->queue.Now(); };
  hooks.admin.ask = [this](const LinkTarget& target,
                           const MemberRequest& request, milliseconds limit,
                           MemberAdminPort::Done done) {
    this->Ask(target, request, limit, std::move(done));
  };
  hooks.promotion.promote = [this](const PromotionCall& call,
                                   const PromotionCallHooks& call_hooks) {
    const auto made = std::make_shared<Call>();
    made->call = call;
    made->hooks = call_hooks;
    this->queue.After(kSwitchoverWay, [this, made] { this->WriteCall(made); });
  };
  hooks.events =
      EventPort{[this](const Event& event) { this->events.push_back(event); }};
  return hooks;
}

void SwitchoverFleet::Ask(const LinkTarget& target,
                          const MemberRequest& request, milliseconds limit,
                          MemberAdminPort::Done done) {
  this->commands.push_back(request.kind);
  const auto found = this->members.find(target.member);
  const bool runs = found != this->members.end() && found->second.reachable;
  if (!runs && this->AnotherRunsAt(target)) {
    this->queue.After(kSwitchoverWay, [done] {
      AdminAnswer misrouted;
      misrouted.response = MemberResponse::kRefused;
      done(misrouted);
    });
    return;
  }
  if (!runs || found->second.slow) {
    this->links.erase(target.member);
    AdminAnswer none;
    none.response = runs ? MemberResponse::kSlow : MemberResponse::kSilent;
    this->queue.After(limit, [done, none] { done(none); });
    return;
  }
  this->queue.After(
      kSwitchoverWay, [this, target, request, done, run = found->second.run] {
        const auto member = this->members.find(target.member);
        const bool same = member != this->members.end() &&
                          member->second.run == run && member->second.reachable;
        AdminAnswer answer =
            same ? this->AnswerOf(member->second, request) : AdminAnswer();
        answer.opened_at = this->LinkOpenedAt(target.member, run);
        if (!same) this->links.erase(target.member);
        this->queue.After(kSwitchoverWay, [done, answer] { done(answer); });
      });
}

/** Whether a member under another ID answers at the address. */
bool SwitchoverFleet::AnotherRunsAt(const LinkTarget& target) const {
  return std::any_of(
      this->members.begin(), this->members.end(), [&](const auto& item) {
        return item.first != target.member && item.second.reachable &&
               item.second.host == target.endpoint.host;
      });
}

/** When the connection to a run of a member was opened: now, unless there is
 * one. */
steady_clock::time_point SwitchoverFleet::LinkOpenedAt(const MemberId& id,
                                                       std::uint64_t run) {
  const Link opened{run, this->queue.Now()};
  Link& link = this->links.emplace(id, opened).first->second;
  if (link.run != run) link = opened;
  return link.opened_at;
}

AdminAnswer SwitchoverFleet::AnswerOf(SwitchoverMember& member,
                                      const MemberRequest& request) {
  AdminAnswer answer;
  answer.response =
      member.busy ? MemberResponse::kBusy : MemberResponse::kAnswered;
  if (member.busy) return answer;
  if (request.kind == MemberRequestKind::kPause && !member.primary) {
    member.paused_term = request.term;
  }
  if (request.kind == MemberRequestKind::kResume) member.paused_term = 0;
  if (request.kind == MemberRequestKind::kStepDown) member.primary = false;
  answer.status.primary = member.primary;
  answer.status.term = member.term;
  answer.status.received = member.received;
  answer.status.paused_term = member.paused_term;
  return answer;
}

/** Completes a promotion; it ends with the process that it was called for. */
void SwitchoverFleet::TakeEffect(const MemberId& id, std::uint64_t run) {
  const auto found = this->members.find(id);
  if (found == this->members.end() || !found->second.alive) return;
  if (found->second.run != run) return;
  ++this->promotions;
  this->promoted_at = this->queue.Now();
  SwitchoverMember& chosen = found->second;
  if (chosen.received < this->acknowledged) this->lost_commit = true;
  for (const auto& item : this->proxies) {
    const auto& until = item.second.leased_until;
    if (until && *until > this->queue.Now()) this->promoted_under_lease = true;
  }
  std::uint64_t term = 0;
  for (const auto& item : this->members) {
    term = std::max(term, item.second.term);
  }
  for (auto& item : this->members) {
    if (item.second.reachable) item.second.primary = false;
    item.second.paused_term = 0;
  }
  chosen.primary = true;
  chosen.term = term + 1;
  chosen.received = LogPosition{term + 1, chosen.received.offset};
}

void SwitchoverFleet::Start() {
  this->TakeOffice(true);
  for (const auto& item : this->members) {
    this->SendAnnouncement(item.first, false);
  }
  this->SendHeartbeats();
  for (const auto& item : this->proxies) this->Report(item.first);
  this->Run(milliseconds(2000));
}

void SwitchoverFleet::RestartProxies() {
  for (auto& item : this->proxies) {
    item.second.acknowledged = LogPosition{};
    item.second.leased_until.reset();
    ++item.second.run;
  }
}

void SwitchoverFleet::TakeOffice(bool office) {
  this->leads = office;
  if (office) ++this->fence;
  this->links.clear();
  this->control->OnLeadership(this->queue.Now(), office);
}

void SwitchoverFleet::Report(const NodeId& node) {
  SwitchoverProxy& proxy = this->proxies.at(node);
  this->queue.After(kReportInterval, [this, node] { this->Report(node); });
  if (!proxy.reachable || !this->proxies_report || !this->leads) return;
  ProxyReport report;
  report.sequence = this->next_report++;
  report.incarnation = proxy.run;
  report.configuration_version = this->reported_configuration;
  const DatabaseTerm* term = this->Term();
  if (term != nullptr && term->phase == TermPhase::kSteady) {
    LeaseRenewal renewal;
    renewal.sequence = report.sequence;
    renewal.incarnation = proxy.run;
    renewal.databases_revision = report.sequence;
    renewal.lists_databases = true;
    renewal.databases = {
        {kSwitchoverDatabase, term->term, term->members_revision}};
    report.renewal = renewal;
  }
  this->control->OnReport(this->queue.Now(), node, report);
}

void SwitchoverFleet::ReportUnanswered(const NodeId& node,
                                       std::uint32_t unanswered) {
  ProxyReport report;
  report.sequence = this->next_report++;
  report.incarnation = 1;
  report.configuration_version = this->reported_configuration;
  report.unanswered = unanswered;
  this->control->OnReport(this->queue.Now(), node, report);
}

void SwitchoverFleet::Tick() {
  if (this->queue.Now() >= this->suspended_until) {
    this->control->OnTick(this->queue.Now());
  }
  this->queue.After(kTick, [this] { this->Tick(); });
}

void SwitchoverFleet::Run(milliseconds length) {
  this->queue.RunUntil(this->queue.Now() + length);
}

void SwitchoverFleet::Suspend(milliseconds length) {
  this->suspended_until = this->queue.Now() + length;
  this->Run(length);
}

void SwitchoverFleet::Commit() {
  const auto primary = std::max_element(
      this->members.begin(), this->members.end(),
      [](const auto& a, const auto& b) {
        return std::make_tuple(a.second.primary, a.second.term) <
               std::make_tuple(b.second.primary, b.second.term);
      });
  if (!primary->second.primary || !primary->second.alive) return;
  LogPosition& log = primary->second.received;
  ++log.offset;
  const LogPosition position = log;
  this->queue.After(kLag, [this, position, id = primary->first] {
    bool received = false;
    for (auto& [name, member] : this->members) {
      if (name == id || !member.receives || member.paused_term != 0) continue;
      member.received = std::max(member.received, position);
      received = true;
    }
    if (!received) return;
    for (auto& item : this->proxies) {
      const auto& until = item.second.leased_until;
      if (!until || *until < this->queue.Now()) continue;
      item.second.acknowledged = std::max(item.second.acknowledged, position);
      this->acknowledged = std::max(this->acknowledged, position);
      return;
    }
  });
}

const DatabaseTerm* SwitchoverFleet::Term() const {
  return this->state.Terms().Find(kSwitchoverDatabase);
}

}  // namespace lacewingferry::model
