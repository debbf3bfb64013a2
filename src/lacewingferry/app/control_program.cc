#include "lacewingferry/app/control_program.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "lacewingferry/adapters/http/http_server.h"
#include "lacewingferry/adapters/tcp/peer_socket.h"
#include "lacewingferry/app/control_replica.h"
#include "lacewingferry/app/control_replica_settings.h"
#include "lacewingferry/app/incarnation.h"
#include "lacewingferry/app/operator_api.h"
#include "lacewingferry/app/rejected_message.h"
#include "lacewingferry/app/run_io_context.h"
#include "lacewingferry/app/wait_until.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/configuration/in_force_tracker.h"
#include "lacewingferry/decisions/failover/failover_manager.h"
#include "lacewingferry/decisions/membership/membership_node.h"
#include "lacewingferry/decisions/ownership/slot_owners.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** How often the manager looks at all members anew. */
constexpr milliseconds kSweepInterval{1000};
constexpr std::size_t kMostOperatorBody = 1U << 20U;
constexpr std::size_t kMostOperatorConnections = 64;

}  // namespace

/** The steps of an input: the replica takes messages of the log, the manager
 * those of failover, the membership node its own; then Advance gives the
 * manager its office when the replica's changed, and sets the timer. */
class ControlProgram::Impl {
 public:
  explicit Impl(ControlProgramParts parts);

  void Run();

 private:
  ControlReplicaHooks ReplicaHooks();
  FailoverHooks ManagerHooks();
  OperatorApiHooks ApiHooks();
  void MakePeerSocket();
  void MakeHttpServer();
  void Send(const NodeId& to, const PeerBody& body);
  void SendTo(const std::string& url, const PeerBody& body);
  void OnPeerMessage(const PeerMessage& message);
  void OnProxyMessage(const PeerMessage& message);
  MembershipSettings MembershipParts() const;
  MembershipHooks MembershipEffects();
  void OnRecord(const MembershipRecord& record);
  void OnReport(const NodeId& from, const ConfigurationReport& report);
  void OnApplied(steady_clock::time_point now, const ControlCommand& command,
                 const ControlOutcome& outcome);
  void OfferConfiguration(const NodeId& to);
  void Propose(const DatabaseCommand& command);
  void ApplyNote(const NoteSubmission& note,
                 std::function<void(const std::optional<NoteAnswer>&)> done);
  std::vector<NodeId> ProxyIds() const;
  void Redirect(const NodeId& to);
  void Advance();
  void Sweep();

  ControlProgramParts parts;
  ControlSettings settings;
  boost::asio::io_context control;
  boost::asio::signal_set signals;
  boost::asio::steady_timer timer;
  std::optional<std::string> disk_failure;
  std::map<NodeId, std::string> urls;
  MembershipNode membership;
  InForceTracker in_force;
  ControlReplica replica;
  FailoverManager manager;
  bool serving = false;
  steady_clock::time_point next_sweep;
  std::shared_ptr<OperatorApi> api;
  std::shared_ptr<HttpServer> http;
  std::unique_ptr<PeerSocket> peers;
};

ControlProgram::Impl::Impl(ControlProgramParts program_parts)
    : parts(std::move(program_parts)),
      settings(this->parts.settings),
      signals(this->control, SIGTERM, SIGINT),
      timer(this->control),
      membership(this->MembershipParts(), this->MembershipEffects()),
      replica(MakeReplicaSettings(this->settings), this->ReplicaHooks()),
      manager(this->replica.State().Terms(), this->ManagerHooks(),
              MakeFailoverSettings(this->settings)) {
  for (const PeerAddress& voter : this->settings.voters) {
    this->urls[voter.id] = voter.url;
  }
  this->MakePeerSocket();
  this->MakeHttpServer();
}

ControlReplicaHooks ControlProgram::Impl::ReplicaHooks() {
  ControlReplicaHooks hooks;
  hooks.send = [this](const NodeId& to, const PeerBody& body) {
    this->Send(to, body);
  };
  hooks.applied = [this](steady_clock::time_point now,
                         const ControlCommand& command,
                         const ControlOutcome& outcome) {
    this->OnApplied(now, command, outcome);
  };
  hooks.failed = [this](const std::string& reason) {
    this->disk_failure = reason;
    this->control.stop();
  };
  hooks.events = this->parts.events;
  hooks.now = this->parts.hybrid.clock.now;
  return hooks;
}

FailoverHooks ControlProgram::Impl::ManagerHooks() {
  FailoverHooks hooks;
  hooks.send = [this](const NodeId& to, const PeerBody& body) {
    this->Send(to, body);
  };
  hooks.propose = [this](steady_clock::time_point,
                         const DatabaseCommand& command) {
    boost::asio::post(this->control,
                      [this, command] { this->Propose(command); });
  };
  hooks.owners = [this](const MemberInfo& member) {
    return SlotOwnersOf(member, this->membership.ProxyPeers());
  };
  hooks.proxies = [this] { return this->ProxyIds(); };
  hooks.events = this->parts.events;
  return hooks;
}

OperatorApiHooks ControlProgram::Impl::ApiHooks() {
  OperatorApiHooks hooks;
  hooks.leading = [this] { return this->replica.Serving(); };
  // Operators name all control processes; ferryctl asks the next one.
  hooks.leader = [] { return std::string(); };
  hooks.apply = [this](const NoteSubmission& note, auto done) {
    this->ApplyNote(note, std::move(done));
  };
  hooks.configuration = [this]() -> const Configuration& {
    return this->replica.State().CurrentConfiguration();
  };
  hooks.in_force = [this] {
    return this->in_force.Summarize(
        this->replica.State().CurrentConfiguration().in_force);
  };
  hooks.timeline = this->parts.timeline;
  hooks.wall_now = this->parts.hybrid.clock.wall_now;
  hooks.events = this->parts.events;
  return hooks;
}

void ControlProgram::Impl::MakePeerSocket() {
  PeerSocketHooks hooks;
  hooks.received = [this](PeerMessage message) {
    boost::asio::post(this->control, [this, message = std::move(message)] {
      this->OnPeerMessage(message);
    });
  };
  hooks.rejected = [this](const std::string& reason) {
    this->parts.events.record(MakeRejectedMessage(NodeId(), reason));
  };
  this->peers =
      std::make_unique<PeerSocket>(this->settings.peer_url, std::move(hooks));
}

void ControlProgram::Impl::MakeHttpServer() {
  this->api = std::make_shared<OperatorApi>(
      this->ApiHooks(), this->settings.operator_secret,
      this->settings.listen.host + ":" +
          std::to_string(this->settings.listen.port));
  HttpServer::Thread thread{
      &this->control,
      [api = this->api](const HttpRequest& request, HttpRespond respond) {
        api->Handle(request, respond);
      }};
  this->http = std::make_shared<HttpServer>(
      std::vector<HttpServer::Thread>{thread}, this->settings.listen,
      HttpLimits{kMostOperatorBody, kMostOperatorConnections});
}

void ControlProgram::Impl::Send(const NodeId& to, const PeerBody& body) {
  const auto url = this->urls.find(to);
  if (url != this->urls.end()) this->SendTo(url->second, body);
}

void ControlProgram::Impl::SendTo(const std::string& url,
                                  const PeerBody& body) {
  // The parts may send while this object is being made.
  if (this->peers == nullptr) return;
  this->peers->Port().send(
      url, PeerMessage{this->settings.node, this->settings.peer_url, body,
                       this->parts.hybrid.time_to_send().time_since_epoch()});
}

void ControlProgram::Impl::OnPeerMessage(const PeerMessage& message) {
  this->parts.hybrid.receive(HybridTime(message.sent_at));
  if (!message.from_url.empty()) this->urls[message.from] = message.from_url;
  const auto now = this->parts.hybrid.clock.now();
  try {
    this->membership.OnContact(now, message.from, message.from_url);
    const bool taken = this->replica.OnMessage(message.from, message.body) ||
                       this->membership.OnMessage(now, message);
    if (!taken) this->OnProxyMessage(message);
  } catch (const UserError& error) {
    this->parts.events.record(MakeRejectedMessage(message.from, error.what()));
  }
  this->Advance();
}

void ControlProgram::Impl::OnProxyMessage(const PeerMessage& message) {
  if (!this->replica.Serving()) {
    this->Redirect(message.from);
  } else if (const auto* report =
                 std::get_if<ConfigurationReport>(&message.body)) {
    this->OnReport(message.from, *report);
  } else {
    this->manager.OnMessage(this->parts.hybrid.clock.now(), message.from,
                            message.body);
  }
}

MembershipSettings ControlProgram::Impl::MembershipParts() const {
  MembershipSettings membership_parts;
  membership_parts.self = ProxyInfo{this->settings.node, this->settings.zone,
                                    this->settings.peer_url, false};
  membership_parts.role = NodeRole::kControl;
  membership_parts.incarnation = IncarnationNow(this->parts.hybrid.clock);
  membership_parts.random_seed = membership_parts.incarnation;
  for (const PeerAddress& voter : this->settings.voters) {
    if (voter.id != this->settings.node) {
      membership_parts.seeds.push_back(voter.url);
    }
  }
  return membership_parts;
}

MembershipHooks ControlProgram::Impl::MembershipEffects() {
  MembershipHooks effects;
  effects.send = [this](const std::string& url, const PeerBody& body) {
    this->SendTo(url, body);
  };
  effects.changed = [this](const MembershipRecord& record) {
    this->OnRecord(record);
  };
  return effects;
}

void ControlProgram::Impl::OnRecord(const MembershipRecord& record) {
  if (const auto* node = std::get_if<NodeState>(&record.subject)) {
    this->urls[node->info.id] = node->info.peer_url;
    return;
  }
  if (record.gone) return;
  this->manager.OnAnnouncement(this->parts.hybrid.clock.now(),
                               std::get<MemberAnnouncement>(record.subject));
}

void ControlProgram::Impl::Redirect(const NodeId& to) {
  const Leadership leadership = this->replica.CurrentLeadership();
  ControlRedirect redirect;
  redirect.control_term = leadership.term;
  if (!leadership.self && !leadership.leader.Empty()) {
    redirect.leader = leadership.node;
    redirect.leader_url = this->urls[leadership.node];
  }
  this->Send(to, redirect);
}

void ControlProgram::Impl::OnReport(const NodeId& from,
                                    const ConfigurationReport& report) {
  this->in_force.Report(from, report.incarnation, report.revision);
  const auto& current = this->replica.State().CurrentConfiguration().in_force;
  if (report.revision < current.revision) this->OfferConfiguration(from);
}

void ControlProgram::Impl::OfferConfiguration(const NodeId& to) {
  this->Send(to, ConfigurationOffer{
                     this->replica.State().CurrentConfiguration().in_force});
}

void ControlProgram::Impl::OnApplied(steady_clock::time_point now,
                                     const ControlCommand& command,
                                     const ControlOutcome& outcome) {
  if (const auto* terms = std::get_if<DatabaseCommand>(&command.body)) {
    this->manager.OnApplied(now, *terms, std::get<ApplyResult>(outcome));
    return;
  }
  const auto& answer = std::get<NoteAnswer>(outcome);
  const bool made =
      answer.verdict == NoteVerdict::kAccepted && !answer.repeated;
  if (!made || !this->serving) return;
  for (const NodeId& proxy : this->ProxyIds()) this->OfferConfiguration(proxy);
}

void ControlProgram::Impl::Propose(const DatabaseCommand& command) {
  this->replica.Propose(ControlCommand{command},
                        [](const std::optional<ControlOutcome>&) {});
  this->Advance();
}

void ControlProgram::Impl::ApplyNote(
    const NoteSubmission& note,
    std::function<void(const std::optional<NoteAnswer>&)> done) {
  this->replica.Propose(
      ControlCommand{note},
      [done = std::move(done)](const std::optional<ControlOutcome>& outcome) {
        if (outcome) {
          done(std::get<NoteAnswer>(*outcome));
        } else {
          done(std::nullopt);
        }
      });
  this->Advance();
}

std::vector<NodeId> ControlProgram::Impl::ProxyIds() const {
  std::vector<NodeId> ids;
  for (const ProxyInfo& proxy : this->membership.ProxyPeers()) {
    ids.push_back(proxy.id);
  }
  return ids;
}

void ControlProgram::Impl::Sweep() {
  const auto now = this->parts.hybrid.clock.now();
  this->next_sweep = now + kSweepInterval;
  // The manager repeats orders to members that don't follow their primary.
  this->membership.Table().ForEachMember(
      [this, now](const MemberAnnouncement& announcement) {
        this->manager.OnAnnouncement(now, announcement);
      });
}

void ControlProgram::Impl::Advance() {
  const auto now = this->parts.hybrid.clock.now();
  const bool serves = this->replica.Serving();
  if (serves != this->serving) {
    this->serving = serves;
    this->manager.OnLeadership(now, serves);
  }
  auto next = std::min({this->replica.NextWakeup(), this->next_sweep,
                        this->membership.NextWakeup()});
  if (const auto due = this->manager.NextWakeup()) next = std::min(next, *due);
  WaitUntil(this->timer, now, next);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const auto present = this->parts.hybrid.clock.now();
    this->replica.OnTick();
    if (present >= this->next_sweep) this->Sweep();
    this->membership.OnTick(present);
    this->manager.OnTick(present);
    this->Advance();
  });
}

void ControlProgram::Impl::Run() {
  this->parts.events.record(Event{
      EventCode::kListening,
      EventLevel::kInfo,
      {{"operators",
        this->settings.listen.host + ":" + std::to_string(this->http->Port())},
       {"peers", this->settings.peer_url}}});
  this->signals.async_wait([this](boost::system::error_code error, int) {
    if (error) return;
    this->parts.events.record(Event{EventCode::kProcessStopping});
    this->control.stop();
  });
  boost::asio::post(this->control, [this] {
    this->http->Start();
    this->Advance();
  });
  RunIoContext(this->control, this->parts.events);
  if (this->disk_failure) throw StorageError(*this->disk_failure);
}

ControlProgram::ControlProgram(ControlProgramParts parts)
    : impl(std::make_unique<Impl>(std::move(parts))) {}

ControlProgram::~ControlProgram() = default;

void ControlProgram::Run() { this->impl->Run(); }

}  // namespace lacewingferry
