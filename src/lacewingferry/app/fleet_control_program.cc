#include "lacewingferry/app/fleet_control_program.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "lacewingferry/adapters/histogram/gauge_text.h"
#include "lacewingferry/adapters/http/http_server.h"
#include "lacewingferry/app/control_replica.h"
#include "lacewingferry/app/fleet_orders.h"
#include "lacewingferry/app/fleet_peers.h"
#include "lacewingferry/app/fleet_replica_settings.h"
#include "lacewingferry/app/followed_ports.h"
#include "lacewingferry/app/metrics_server.h"
#include "lacewingferry/app/reload_settings.h"
#include "lacewingferry/app/run_io_context.h"
#include "lacewingferry/app/wait_until.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/switchover/fleet_control.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kMostBody = 4U << 20U;
constexpr std::size_t kMostConnections = 1500;
/** Members announce themselves more often on the connections that they keep. */
constexpr milliseconds kIdleTimeout{5000};
constexpr milliseconds kSilenceCheck{350};

}  // namespace

/** The steps of an input: the replica takes messages of the log, FleetControl
 * those of proxies; then Advance gives FleetControl its office when the
 * replica's changed, does what is due, and sets the timer. */
class FleetControlProgram::Impl {
 public:
  explicit Impl(FleetControlParts parts);

  void Run();

 private:
  ControlReplicaHooks ReplicaHooks();
  FleetControlHooks FleetHooks();
  FleetControlSettings FleetSettings() const;
  void OnMessage(const NodeId& from, const PeerBody& body);
  void Redirect(const NodeId& to);
  void OnApplied();
  FleetOrderHooks OrderHooks();
  std::vector<NodeId> ControlNodes() const;
  bool Leads() const;
  void ReadStoredConfiguration();
  void FollowOffice(steady_clock::time_point now);
  void Advance();
  void Arm(steady_clock::time_point now);
  std::string Metrics() const;
  void WaitForSignal();

  FleetControlParts parts;
  boost::asio::io_context control;
  boost::asio::signal_set signals;
  boost::asio::steady_timer timer;
  std::optional<std::string> disk_failure;
  std::unique_ptr<FleetPeers> peers;
  ControlReplica replica;
  std::unique_ptr<FleetControl> fleet;
  std::unique_ptr<FleetOrders> orders;
  std::uint64_t parsed_version = 0;
  bool in_office = false;
  std::uint64_t office_term = 0;
  bool advancing = false;
  NodeId reported_leader;
  steady_clock::time_point next_silence_check;
  std::shared_ptr<HttpServer> http;
  std::shared_ptr<HttpServer> metrics;
};

FleetControlProgram::Impl::Impl(FleetControlParts program_parts)
    : parts(std::move(program_parts)),
      signals(this->control, SIGTERM, SIGINT, SIGHUP),
      timer(this->control),
      replica(MakeFleetReplicaSettings(this->parts.settings),
              this->ReplicaHooks()) {
  this->peers = std::make_unique<FleetPeers>(
      this->parts.settings.node, this->control, this->parts.hybrid,
      this->parts.events, [this](const NodeId& from, const PeerBody& body) {
        this->OnMessage(from, body);
      });
  this->fleet = std::make_unique<FleetControl>(
      this->replica.State(), this->parts.settings.node.address,
      this->FleetHooks(), this->FleetSettings());
  this->orders = std::make_unique<FleetOrders>(
      this->control, this->replica, *this->fleet, this->OrderHooks());
  this->http = std::make_shared<HttpServer>(
      std::vector<HttpServer::Thread>{
          {&this->control, this->parts.adapters.make_api(this->orders->Api())}},
      this->parts.settings.listen,
      HttpLimits{kMostBody, kMostConnections, kIdleTimeout});
  this->metrics = MakeMetricsServer(this->control, this->parts.settings.node,
                                    [this] { return this->Metrics(); });
}

std::string FleetControlProgram::Impl::Metrics() const {
  const Leadership known = this->replica.CurrentLeadership();
  const auto now = this->parts.hybrid.clock.now();
  const ControlState& state = this->replica.State();
  const PromotionCounts& promotions = this->fleet->Promotions();
  const auto number = [](auto value) { return static_cast<double>(value); };
  std::vector<Gauge> gauges = {
      {"ferry_control_leads", "", this->Leads() ? 1.0 : 0.0},
      {"ferry_control_term", "", number(known.term)},
      {"ferry_control_index", "", number(state.LastIndex())},
      {"ferry_control_replicas", "", number(this->ControlNodes().size())},
      {"ferry_control_voters", "",
       number(this->replica.Configuration().VoterCount())},
      {"ferry_control_voters_silent", "", number(this->replica.SilentVoters())},
      {"ferry_control_joining", "", this->replica.IsMember() ? 0.0 : 1.0},
      {"ferry_configuration_version", "", number(state.Services().version)},
      {"ferry_databases_without_primary", "",
       number(state.Terms().WithoutPrimary())},
      {"ferry_promotion_calls", "", number(promotions.Ended())},
      {"ferry_promotion_calls_unknown", "",
       number(promotions.Ended(PromotionResult::kUnknown))},
      {"ferry_unchosen_primaries", "", number(promotions.unchosen_primaries)},
      {"ferry_announcements_rejected", "",
       number(this->fleet->RejectedAnnouncements())},
      {"ferry_members", "", number(state.CurrentRoster().Members().size())},
      {"ferry_proxies", "", number(this->fleet->ProxyCount(now))}};
  this->fleet->AddPermitGauges(now, &gauges);
  return FormatGauges(std::move(gauges));
}

ControlReplicaHooks FleetControlProgram::Impl::ReplicaHooks() {
  ControlReplicaHooks hooks;
  hooks.send = [this](const NodeId& to, const PeerBody& body) {
    if (this->peers) this->peers->Send(to, body);
  };
  hooks.applied = [this](steady_clock::time_point, const ControlCommand&,
                         const ControlOutcome&) { this->OnApplied(); };
  hooks.failed = [this](const std::string& reason) {
    this->disk_failure = reason;
    this->control.stop();
  };
  hooks.events = this->parts.events;
  hooks.now = this->parts.hybrid.clock.now;
  return hooks;
}

FleetControlHooks FleetControlProgram::Impl::FleetHooks() {
  FleetControlHooks hooks;
  hooks.update = [this](const NodeId& to, const ProxyUpdate& update) {
    this->peers->Send(to, update);
  };
  hooks.recall = [this](const NodeId& to, const LeaseRecall& recall) {
    this->parts.events.record(
        Event{EventCode::kLeaseRecalled,
              EventLevel::kInfo,
              {{"database", recall.database.Value()},
               {"before_term", std::to_string(recall.before_term)},
               {"holder", to.Value()}}});
    this->peers->Send(to, recall);
  };
  hooks.permits = [this](const NodeId& to, const PermitGrant& grant) {
    this->peers->Send(to, grant);
  };
  hooks.redial = [this](const NodeId& node) { this->peers->Redial(node); };
  hooks.propose = [this](const ControlCommand& command,
                         std::function<void(bool)> done) {
    this->orders->Propose(command, std::move(done));
  };
  hooks.control_nodes = [this] { return this->ControlNodes(); };
  hooks.revision = [this] { return this->replica.State().LastIndex(); };
  hooks.leads = [this] { return this->Leads(); };
  hooks.fence = [this] { return this->replica.CurrentLeadership().term; };
  hooks.now = this->parts.hybrid.clock.now;
  const auto advance = [this] { this->Advance(); };
  const FleetControlAdapters& adapters = this->parts.adapters;
  hooks.admin = FollowedBy(
      adapters.make_admin(this->control, this->parts.hybrid.clock), advance);
  hooks.promotion = FollowedBy(adapters.make_promotion(this->control), advance);
  hooks.events = this->parts.events;
  return hooks;
}

FleetControlSettings FleetControlProgram::Impl::FleetSettings() const {
  const CustomerLimitSettings& limits = this->parts.settings.limits;
  FleetControlSettings settings;
  settings.permits.tolerance.window = limits.window;
  settings.permits.tolerance.overrun = limits.overrun;
  settings.permits.tolerance.slack = limits.slack;
  return settings;
}

bool FleetControlProgram::Impl::Leads() const {
  return this->in_office && this->replica.Serving();
}

std::vector<NodeId> FleetControlProgram::Impl::ControlNodes() const {
  std::vector<NodeId> nodes;
  for (const ControlMember& member : this->replica.Configuration().members) {
    nodes.push_back(member.node);
  }
  return nodes;
}

FleetOrderHooks FleetControlProgram::Impl::OrderHooks() {
  FleetOrderHooks hooks;
  hooks.leads = [this] { return this->Leads(); };
  hooks.advance = [this] { this->Advance(); };
  hooks.now = this->parts.hybrid.clock.now;
  hooks.events = this->parts.events;
  return hooks;
}

void FleetControlProgram::Impl::OnApplied() {
  if (this->fleet) this->fleet->OnApplied();
}

void FleetControlProgram::Impl::ReadStoredConfiguration() {
  const ConfigurationSubmission& stored = this->replica.State().Services();
  if (stored.version == this->parsed_version) return;
  this->fleet->SetConfiguration(this->parts.adapters.parse(stored.document));
  this->parsed_version = stored.version;
}

void FleetControlProgram::Impl::OnMessage(const NodeId& from,
                                          const PeerBody& body) {
  const auto now = this->parts.hybrid.clock.now();
  if (this->replica.OnMessage(from, body)) {
    this->Advance();
    return;
  }
  if (!this->Leads()) {
    this->Redirect(from);
    return;
  }
  if (const auto* report = std::get_if<ProxyReport>(&body)) {
    this->fleet->OnReport(now, from, *report);
  } else if (const auto* recalled = std::get_if<LeaseRecalled>(&body)) {
    this->fleet->OnRecalled(now, from, *recalled);
  } else if (const auto* request = std::get_if<PermitRequest>(&body)) {
    this->fleet->OnPermitRequest(now, from, *request);
  }
  this->Advance();
}

void FleetControlProgram::Impl::Redirect(const NodeId& to) {
  // Where nobody leads yet, the answer opens the connection that the next
  // leader will need.
  const Leadership known = this->replica.CurrentLeadership();
  if (known.self) return;
  this->peers->Send(to, ControlRedirect{known.node, "", known.term});
}

void FleetControlProgram::Impl::FollowOffice(steady_clock::time_point now) {
  const Leadership known = this->replica.CurrentLeadership();
  const bool lost =
      this->in_office && (!known.self || known.term != this->office_term);
  if (lost) {
    this->in_office = false;
    this->fleet->OnLeadership(now, false);
  }
  // A pause of the log's lease is no change of office: the term is the same.
  if (!this->in_office && this->replica.Serving()) {
    this->in_office = true;
    this->office_term = known.term;
    this->fleet->OnLeadership(now, true);
  }
  const NodeId leader = known.node;
  if (leader == this->reported_leader) return;
  this->reported_leader = leader;
  this->parts.events.record(Event{EventCode::kControlLeaderChanged,
                                  EventLevel::kInfo,
                                  {{"leader", leader.Value()},
                                   {"term", std::to_string(known.term)},
                                   {"self", known.self ? "yes" : "no"}}});
}

void FleetControlProgram::Impl::Advance() {
  if (this->advancing) return;
  this->advancing = true;
  const auto now = this->parts.hybrid.clock.now();
  this->ReadStoredConfiguration();
  this->FollowOffice(now);
  this->fleet->TrackChanges();
  if (this->Leads()) this->fleet->OnTick(now);
  this->Arm(now);
  this->advancing = false;
}

void FleetControlProgram::Impl::Arm(steady_clock::time_point now) {
  auto next = std::min(this->replica.NextWakeup(), this->next_silence_check);
  if (this->Leads()) {
    const auto due = this->fleet->NextWakeup();
    if (due) next = std::min(next, *due);
  }
  WaitUntil(this->timer, now, next);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->replica.OnTick();
    const auto present = this->parts.hybrid.clock.now();
    if (present >= this->next_silence_check) {
      this->next_silence_check = present + kSilenceCheck;
      this->peers->RedialSilent();
    }
    this->Advance();
  });
}

void FleetControlProgram::Impl::WaitForSignal() {
  this->signals.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal != SIGHUP) {
      this->parts.events.record(Event{EventCode::kProcessStopping});
      this->control.stop();
      return;
    }
    ReloadSettings(this->parts.events, [this] {
      this->replica.SetSeeds(OtherControlNodes(this->parts.reload().node));
    });
    this->WaitForSignal();
  });
}

void FleetControlProgram::Impl::Run() {
  this->parts.events.record(
      Event{EventCode::kListening,
            EventLevel::kInfo,
            {{"operators", this->parts.settings.listen.host + ":" +
                               std::to_string(this->http->Port())}}});
  this->WaitForSignal();
  boost::asio::post(this->control, [this] {
    this->http->Start();
    this->metrics->Start();
    this->Advance();
  });
  RunIoContext(this->control, this->parts.events);
  if (this->disk_failure) throw StorageError(*this->disk_failure);
}

FleetControlProgram::FleetControlProgram(FleetControlParts parts)
    : impl(std::make_unique<Impl>(std::move(parts))) {}

FleetControlProgram::~FleetControlProgram() = default;

void FleetControlProgram::Run() { this->impl->Run(); }

}  // namespace lacewingferry
