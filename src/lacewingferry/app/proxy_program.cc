#include "lacewingferry/app/proxy_program.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/adapters/histogram/request_metrics.h"
#include "lacewingferry/adapters/http/http_server.h"
#include "lacewingferry/adapters/tcp/peer_socket.h"
#include "lacewingferry/app/caller_api.h"
#include "lacewingferry/app/incarnation.h"
#include "lacewingferry/app/proxy_control.h"
#include "lacewingferry/app/proxy_drain.h"
#include "lacewingferry/app/rejected_message.h"
#include "lacewingferry/app/run_io_context.h"
#include "lacewingferry/app/traffic_thread.h"
#include "lacewingferry/app/wait_until.h"

namespace lacewingferry {
/**
 * The control thread is the one that calls Run: it alone touches the control
 * state. Traffic threads get immutable views from it. Messages of peers
 * arrive on PeerSocket's thread and are posted to the thread that they concern.
 */
class ProxyProgram::Impl {
 public:
  Impl(ProxySettings settings, EventPort events, HybridWallClock hybrid);
  ~Impl();

  void Run();

 private:
  void MakeTrafficThreads();
  void MakeHttpServer();
  CallerApiHooks ApiHooksFor(boost::asio::io_context& io);
  TrafficThread& ThreadOf(const DatabaseId& database);
  void RecordUnknown(const DatabaseId& database, const UnknownOutcome& unknown);
  void OnPeerMessage(PeerMessage message);
  ProxyControlHooks ControlHooks();
  void RunStatement(const DatabaseId& database, const MemberId& member,
                    const MemberStatement& statement,
                    std::chrono::steady_clock::time_point deadline,
                    const ControlReply& reply);
  void SendPeer(const std::string& url, const PeerBody& body);
  template <typename Action>
  void RunOnControl(Action action);
  void ArmControlTimer();
  void BeginStop();
  ProxyDrainHooks DrainHooks();

  ProxySettings settings;
  EventPort events;
  HybridWallClock hybrid;
  ClockPort clock;
  boost::asio::io_context control;
  boost::asio::signal_set signals;
  boost::asio::steady_timer control_timer;
  std::uint64_t incarnation;
  std::vector<std::unique_ptr<TrafficThread>> threads;
  std::shared_ptr<HttpServer> http;
  std::unique_ptr<PeerSocket> peers;
  PeerPort peer_port;
  std::unique_ptr<ProxyControl> state;
  RequestMetrics metrics;
  /** Whether any database is known; the balancer sends no work before. */
  std::atomic<bool> started{false};
  std::atomic<bool> stopping{false};
  ProxyDrain drain;
};

ProxyProgram::Impl::Impl(ProxySettings proxy_settings, EventPort event_port,
                         HybridWallClock hybrid_clock)
    : settings(std::move(proxy_settings)),
      events(std::move(event_port)),
      hybrid(std::move(hybrid_clock)),
      clock(this->hybrid.clock),
      signals(this->control, SIGTERM, SIGINT),
      control_timer(this->control),
      incarnation(IncarnationNow(this->clock)),
      drain(this->control, this->threads, this->settings.drain_limit,
            this->DrainHooks()) {
  this->MakeTrafficThreads();
  this->peers = std::make_unique<PeerSocket>(
      this->settings.peer_url,
      PeerSocketHooks{[this](PeerMessage message) {
                        this->OnPeerMessage(std::move(message));
                      },
                      [this](const std::string& reason) {
                        this->events.record(
                            MakeRejectedMessage(NodeId(), reason));
                      }});
  this->peer_port = this->peers->Port();
  this->state = std::make_unique<ProxyControl>(
      this->settings, this->incarnation, this->ControlHooks());
  this->MakeHttpServer();
}

ProxyProgram::Impl::~Impl() {
  for (auto& thread : this->threads) thread->Stop();
  this->peers.reset();
}

void ProxyProgram::Impl::MakeTrafficThreads() {
  TrafficSettings traffic;
  traffic.node = this->settings.node;
  traffic.zone = this->settings.zone;
  traffic.incarnation = this->incarnation;
  traffic.needs_seats = true;
  const TrafficThreadHooks hooks{
      [this](const std::string& url, const PeerBody& body) {
        this->SendPeer(url, body);
      },
      this->events, this->clock,
      [this](const MemberId& member, MemberObservation sign,
             std::chrono::steady_clock::time_point seen) {
        this->RunOnControl([this, member, sign, seen] {
          this->state->OnSign(seen, member, sign);
        });
      }};
  for (std::size_t i = 0; i < this->settings.traffic_threads; ++i) {
    this->threads.push_back(
        std::make_unique<TrafficThread>(hooks, traffic, this->settings.dialect,
                                        i, this->settings.traffic_threads));
  }
}

void ProxyProgram::Impl::MakeHttpServer() {
  std::vector<HttpServer::Thread> served;
  const CallerLimits limits{this->settings.default_timeout,
                            this->settings.max_timeout};
  for (auto& thread : this->threads) {
    auto api = std::make_shared<CallerApi>(this->ApiHooksFor(thread->Io()),
                                           limits, this->settings.token_secret);
    served.push_back(HttpServer::Thread{
        &thread->Io(), [api](const HttpRequest& request, HttpRespond respond) {
          api->Handle(request, respond);
        }});
  }
  this->http = std::make_shared<HttpServer>(
      std::move(served), this->settings.listen,
      HttpLimits{this->settings.max_body_bytes,
                 this->settings.max_caller_connections});
}

CallerApiHooks ProxyProgram::Impl::ApiHooksFor(boost::asio::io_context& io) {
  CallerApiHooks hooks;
  hooks.submit = [this, &io](StatementRequest request,
                             std::function<void(const Outcome&)> reply) {
    if (this->stopping && request.transaction.Empty()) {
      reply(NotRun{RefusalCode::kStopping, "this proxy is stopping"});
      return;
    }
    if (!this->started) {
      reply(NotRun{RefusalCode::kStarting,
                   "this proxy has not yet learned of any database"});
      return;
    }
    TrafficThread& thread = this->ThreadOf(request.database);
    ReplyHook back = [this, &io, reply = std::move(reply), kind = request.kind,
                      database = request.database,
                      received = this->clock.now()](const Outcome& outcome) {
      this->metrics.Record(kind, outcome, this->clock.now() - received);
      if (const auto* unknown = std::get_if<UnknownOutcome>(&outcome)) {
        this->RecordUnknown(database, *unknown);
      }
      boost::asio::dispatch(io, [reply, outcome] { reply(outcome); });
    };
    thread.Submit(std::move(request), std::move(back));
  };
  hooks.announce = [this, &io](const MemberAnnouncement& made,
                               std::function<void(const std::string&)> done) {
    this->RunOnControl([this, &io, made, done = std::move(done)] {
      const std::string problem = this->state->Announce(made);
      boost::asio::post(io, [done, problem] { done(problem); });
    });
  };
  hooks.accepting = [this] { return this->started && !this->stopping; };
  hooks.metrics = [this] { return this->metrics.Format(); };
  return hooks;
}

void ProxyProgram::Impl::RecordUnknown(const DatabaseId& database,
                                       const UnknownOutcome& unknown) {
  this->events.record(
      Event{EventCode::kRequestUnknown,
            EventLevel::kWarning,
            {{"database", database.Value()}, {"reason", unknown.detail}}});
}

TrafficThread& ProxyProgram::Impl::ThreadOf(const DatabaseId& database) {
  return *this->threads[TrafficShard::IndexOf(database, this->threads.size())];
}

void ProxyProgram::Impl::OnPeerMessage(PeerMessage message) {
  this->hybrid.receive(HybridTime(message.sent_at));
  if (const auto* forward = std::get_if<ForwardRequest>(&message.body)) {
    this->ThreadOf(forward->request.database).OnForward(message.from, *forward);
  } else if (const auto* reply = std::get_if<ForwardReply>(&message.body)) {
    this->ThreadOf(reply->database).OnForwardReply(message.from, *reply);
  } else if (const auto* probe = std::get_if<PositionProbe>(&message.body)) {
    // Each thread takes the databases that are its own.
    for (auto& thread : this->threads) thread->OnProbe(message.from, *probe);
  } else if (const auto* sample = std::get_if<PositionSample>(&message.body)) {
    for (auto& thread : this->threads) thread->OnSample(*sample);
  } else {
    this->RunOnControl([this, message = std::move(message)] {
      this->state->OnMessage(message);
    });
  }
}

template <typename Action>
void ProxyProgram::Impl::RunOnControl(Action action) {
  boost::asio::post(this->control, [this, action = std::move(action)] {
    action();
    this->ArmControlTimer();
  });
}

void ProxyProgram::Impl::ArmControlTimer() {
  WaitUntil(this->control_timer, this->clock.now(), this->state->NextWakeup());
  this->control_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->state->OnTick();
    this->ArmControlTimer();
  });
}

void ProxyProgram::Impl::SendPeer(const std::string& url,
                                  const PeerBody& body) {
  this->peer_port.send(
      url, PeerMessage{this->settings.node, this->settings.peer_url, body,
                       this->hybrid.time_to_send().time_since_epoch()});
}

ProxyControlHooks ProxyProgram::Impl::ControlHooks() {
  ProxyControlHooks hooks;
  hooks.send = [this](const std::string& url, const PeerBody& body) {
    this->SendPeer(url, body);
  };
  hooks.publish = [this](const RoutingViewPtr& view) {
    for (auto& thread : this->threads) thread->Publish(view);
    if (!view->databases.empty()) this->started = true;
  };
  hooks.publish_seats = [this](const SeatTablePtr& table) {
    for (auto& thread : this->threads) {
      thread->PublishSeats(table, [this](const SeatReport& report) {
        this->RunOnControl(
            [this, report] { this->state->OnSeatReport(report); });
      });
    }
  };
  hooks.run_statement = [this](const DatabaseId& database,
                               const MemberId& member,
                               const MemberStatement& statement,
                               std::chrono::steady_clock::time_point deadline,
                               const ControlReply& reply) {
    this->RunStatement(database, member, statement, deadline, reply);
  };
  hooks.probe_server = [this](const Endpoint& server,
                              std::chrono::milliseconds timeout,
                              ServerProbeHook on_result) {
    ProbeServer(this->control, server, timeout,
                [this, on_result = std::move(on_result)](MemberSight sight) {
                  on_result(sight);
                  this->ArmControlTimer();
                });
  };
  hooks.lease = [this](const DatabaseId& database,
                       std::chrono::steady_clock::time_point until) {
    this->ThreadOf(database).SetLease(database, until);
  };
  hooks.release = [this](const DatabaseId& database, std::uint64_t term) {
    this->ThreadOf(database).ReleaseTerm(database, term);
  };
  // The promise follows the release through the traffic thread's queue, so it
  // can't leave before the release is in force.
  hooks.send_released = [this](const std::string& url,
                               const LeaseReleased& released) {
    this->ThreadOf(released.database).RunAfterPosted([this, url, released] {
      this->SendPeer(url, released);
    });
  };
  hooks.events = this->events;
  hooks.now = this->clock.now;
  return hooks;
}

void ProxyProgram::Impl::RunStatement(
    const DatabaseId& database, const MemberId& member,
    const MemberStatement& statement,
    std::chrono::steady_clock::time_point deadline, const ControlReply& reply) {
  this->ThreadOf(database).RunControlStatement(
      database, member, statement, deadline,
      [this, reply](const std::optional<MemberResult>& result) {
        this->RunOnControl([reply, result] { reply(result); });
      });
}

void ProxyProgram::Impl::Run() {
  this->events.record(Event{
      EventCode::kListening,
      EventLevel::kInfo,
      {{"callers",
        this->settings.listen.host + ":" + std::to_string(this->http->Port())},
       {"peers", this->settings.peer_url}}});
  this->signals.async_wait([this](boost::system::error_code error, int) {
    if (!error) this->BeginStop();
  });
  for (auto& thread : this->threads) thread->Start();
  boost::asio::post(this->threads.front()->Io(),
                    [server = this->http] { server->Start(); });
  this->RunOnControl([this] { this->state->OnTick(); });
  RunIoContext(this->control, this->events);
}

void ProxyProgram::Impl::BeginStop() {
  this->events.record(Event{EventCode::kProcessStopping});
  this->stopping = true;
  this->state->StartDraining();
  boost::asio::post(this->threads.front()->Io(),
                    [server = this->http] { server->Stop(); });
  this->drain.Begin();
}

ProxyDrainHooks ProxyProgram::Impl::DrainHooks() {
  ProxyDrainHooks hooks;
  hooks.exchanges = [this] { return this->http->Exchanges(); };
  hooks.done = [this] {
    this->state->Leave();
    this->control_timer.cancel();
    this->control.stop();
  };
  hooks.now = this->clock.now;
  hooks.events = this->events;
  return hooks;
}

ProxyProgram::ProxyProgram(ProxySettings settings, EventPort events,
                           HybridWallClock hybrid)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(events),
                                  std::move(hybrid))) {}

ProxyProgram::~ProxyProgram() = default;

void ProxyProgram::Run() { this->impl->Run(); }

}  // namespace lacewingferry
