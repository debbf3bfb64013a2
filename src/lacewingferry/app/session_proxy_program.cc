#include "lacewingferry/app/session_proxy_program.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <string>
#include <utility>
#include <variant>

#include "lacewingferry/adapters/http/http_server.h"
#include "lacewingferry/app/fleet_peers.h"
#include "lacewingferry/app/incarnation.h"
#include "lacewingferry/app/metrics_server.h"
#include "lacewingferry/app/reload_settings.h"
#include "lacewingferry/app/run_io_context.h"
#include "lacewingferry/app/session_traffic.h"
#include "lacewingferry/app/wait_until.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/gateway/fleet_client.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kMostProbeBody = 4096;
constexpr std::size_t kMostProbeConnections = 64;
/** A planned stop looks at its sessions this often. */
constexpr milliseconds kStopCheck{50};
/** The balancer needs two answers, a second apart, to notice that a proxy
 * stops; until then it sends connections here, so sessions at rest stay. */
constexpr milliseconds kNoticeTime{2200};
/** Of a planned stop's time, open transactions get this part, as a divisor. */
constexpr int kTransactionShare = 2;

}  // namespace

class SessionProxyProgram::Impl {
 public:
  explicit Impl(SessionProxyParts parts);

  void Run();

 private:
  FleetClientHooks ClientHooks();
  FleetClientSettings ClientSettings() const;
  SessionTrafficParts TrafficParts();
  void OnMessage(const NodeId& from, const PeerBody& body);
  void Arm();
  void WaitForSignal();
  void Reload();
  void StartStop();
  void ContinueStop();
  void FinishStop();

  SessionProxyParts parts;
  ClockPort clock;
  boost::asio::io_context control;
  boost::asio::signal_set signals;
  boost::asio::steady_timer timer;
  boost::asio::steady_timer stop_timer;
  SessionTraffic traffic;
  FleetClient client;
  FleetPeers peers;
  std::shared_ptr<HttpServer> readiness;
  std::shared_ptr<HttpServer> metrics;
  bool stopping = false;
  bool draining = false;
  bool transactions_ended = false;
  steady_clock::time_point stop_began;
};

SessionProxyProgram::Impl::Impl(SessionProxyParts program_parts)
    : parts(std::move(program_parts)),
      clock(this->parts.hybrid.clock),
      signals(this->control, SIGTERM, SIGINT, SIGHUP),
      timer(this->control),
      stop_timer(this->control),
      traffic(this->TrafficParts()),
      client(this->ClientHooks(), this->ClientSettings(),
             IncarnationNow(this->clock)),
      peers(this->parts.settings.node, this->control, this->parts.hybrid,
            this->parts.events,
            [this](const NodeId& from, const PeerBody& body) {
              this->OnMessage(from, body);
            }) {
  this->readiness = std::make_shared<HttpServer>(
      std::vector<HttpServer::Thread>{
          {&this->control, this->parts.make_readiness([this] {
             return this->client.Ready() && !this->stopping;
           })}},
      this->parts.settings.readiness,
      HttpLimits{kMostProbeBody, kMostProbeConnections});
  this->metrics = MakeMetricsServer(this->control, this->parts.settings.node,
                                    [this] { return this->traffic.Metrics(); });
}

SessionTrafficParts SessionProxyProgram::Impl::TrafficParts() {
  SessionTrafficParts traffic_parts;
  traffic_parts.settings.zone = this->parts.settings.node.zone;
  traffic_parts.settings.regions = this->parts.settings.node.regions;
  traffic_parts.addresses.clients = this->parts.settings.listen;
  traffic_parts.addresses.proxies =
      Endpoint{this->parts.settings.node.address.Value(),
               this->parts.settings.relay_port};
  traffic_parts.make_front = this->parts.make_front;
  traffic_parts.clock = this->clock;
  traffic_parts.events = this->parts.events;
  traffic_parts.recalled = [this](const DatabaseId& database,
                                  std::uint64_t before_term,
                                  const LogPosition& acknowledged) {
    boost::asio::post(
        this->control, [this, database, before_term, acknowledged] {
          this->client.OnTrafficRecalled(this->clock.now(), database,
                                         before_term, acknowledged);
          this->Arm();
        });
  };
  traffic_parts.request_permits = [this](const PermitRequest& request) {
    boost::asio::post(this->control, [this, request] {
      this->client.RequestPermits(request);
    });
  };
  return traffic_parts;
}

FleetClientSettings SessionProxyProgram::Impl::ClientSettings() const {
  FleetClientSettings settings;
  settings.self = this->parts.settings.node.address;
  settings.zone = this->parts.settings.node.zone;
  settings.lease = MakeSessionLeaseTiming();
  settings.report_interval = settings.lease.renewal_interval;
  return settings;
}

FleetClientHooks SessionProxyProgram::Impl::ClientHooks() {
  FleetClientHooks hooks;
  hooks.report = [this](const NodeId& to, const ProxyReport& report) {
    this->peers.Send(to, report);
  };
  hooks.recalled = [this](const NodeId& to, const LeaseRecalled& recalled) {
    this->peers.Send(to, recalled);
  };
  hooks.redial = [this](const NodeId& node) { this->peers.Redial(node); };
  hooks.request_permits = [this](const NodeId& to,
                                 const PermitRequest& request) {
    this->peers.Send(to, request);
  };
  hooks.permits = [this](const PermitGrant& grant) {
    this->traffic.OnPermits(grant);
  };
  hooks.publish = [this](GatewayViewPtr view) {
    this->traffic.SetView(std::move(view));
  };
  hooks.lease = [this](const DatabaseId& database, std::uint64_t term,
                       steady_clock::time_point until) {
    this->traffic.SetLease(database, term, until);
  };
  hooks.position = [this](const DatabaseId& database,
                          steady_clock::time_point asked,
                          const LogPosition& position) {
    this->traffic.OnPosition(database, asked, position);
  };
  hooks.recall = [this](const DatabaseId& database, std::uint64_t before_term,
                        milliseconds patience) {
    this->traffic.Recall(database, before_term, patience);
  };
  hooks.seeds = [this] { return this->parts.settings.node.control; };
  hooks.events = this->parts.events;
  return hooks;
}

void SessionProxyProgram::Impl::OnMessage(const NodeId& from,
                                          const PeerBody& body) {
  const auto now = this->clock.now();
  if (const auto* update = std::get_if<ProxyUpdate>(&body)) {
    this->client.OnUpdate(now, from, *update);
  } else if (const auto* recall = std::get_if<LeaseRecall>(&body)) {
    this->client.OnRecall(now, from, *recall);
  } else if (const auto* redirect = std::get_if<ControlRedirect>(&body)) {
    this->client.OnRedirect(now, *redirect);
  } else if (const auto* grant = std::get_if<PermitGrant>(&body)) {
    this->client.OnPermits(*grant);
    return;
  }
  this->Arm();
}

void SessionProxyProgram::Impl::Arm() {
  WaitUntil(this->timer, this->clock.now(), this->client.NextWakeup());
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->client.OnTick(this->clock.now());
    this->Arm();
  });
}

void SessionProxyProgram::Impl::WaitForSignal() {
  this->signals.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      this->Reload();
    } else if (!this->stopping) {
      this->StartStop();
    }
    this->WaitForSignal();
  });
}

/** Only where control is found may change without a restart. */
void SessionProxyProgram::Impl::Reload() {
  ReloadSettings(this->parts.events, [this] {
    this->parts.settings.node.control = this->parts.reload().node.control;
  });
}

/**
 * A planned stop: at once the readiness probe fails; when the balancer has
 * noticed, sessions end as they come to rest; later open transactions are
 * rolled back; then the leases are given up and the process ends.
 */
void SessionProxyProgram::Impl::StartStop() {
  this->stopping = true;
  this->stop_began = this->clock.now();
  this->parts.events.record(
      Event{EventCode::kProcessStopping,
            EventLevel::kInfo,
            {{"sessions", std::to_string(this->traffic.SessionCount())}}});
  this->client.StartDraining(this->stop_began);
  this->ContinueStop();
}

void SessionProxyProgram::Impl::ContinueStop() {
  const auto passed = this->clock.now() - this->stop_began;
  const milliseconds limit = this->parts.settings.stop_limit;
  if (!this->draining && passed >= std::min(kNoticeTime, limit / 2)) {
    this->draining = true;
    this->traffic.StartDraining();
  }
  if (!this->transactions_ended && passed >= limit / kTransactionShare) {
    this->transactions_ended = true;
    this->traffic.EndTransactions();
  }
  const bool empty = this->draining && this->traffic.SessionCount() == 0;
  if ((empty && passed >= kNoticeTime + kStopCheck) || passed >= limit) {
    this->FinishStop();
    return;
  }
  this->stop_timer.expires_after(kStopCheck);
  this->stop_timer.async_wait([this](boost::system::error_code error) {
    if (!error) this->ContinueStop();
  });
}

void SessionProxyProgram::Impl::FinishStop() {
  this->client.ReleaseLeases(this->clock.now());
  // The messages that give up the leases are on their way within this time.
  this->stop_timer.expires_after(kStopCheck);
  this->stop_timer.async_wait([this](boost::system::error_code) {
    this->traffic.Stop();
    this->control.stop();
  });
}

void SessionProxyProgram::Impl::Run() {
  this->parts.events.record(
      Event{EventCode::kListening,
            EventLevel::kInfo,
            {{"clients", this->parts.settings.listen.host + ":" +
                             std::to_string(this->parts.settings.listen.port)},
             {"zone", this->parts.settings.node.zone.Value()}}});
  this->WaitForSignal();
  this->traffic.Start();
  boost::asio::post(this->control, [this] {
    this->readiness->Start();
    this->metrics->Start();
    this->client.Start(this->clock.now());
    this->Arm();
  });
  RunIoContext(this->control, this->parts.events);
}

SessionProxyProgram::SessionProxyProgram(SessionProxyParts parts)
    : impl(std::make_unique<Impl>(std::move(parts))) {}

SessionProxyProgram::~SessionProxyProgram() = default;

void SessionProxyProgram::Run() { this->impl->Run(); }

}  // namespace lacewingferry
