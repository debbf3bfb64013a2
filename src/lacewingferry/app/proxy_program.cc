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

#include "lacewingferry/adapters/http/caller_api.h"
#include "lacewingferry/adapters/http/http_server.h"
#include "lacewingferry/adapters/nng/peer_socket.h"
#include "lacewingferry/app/traffic_thread.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/membership/member_directory.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{200};
/** How often a planned stop looks whether requests are unfinished. */
constexpr milliseconds kDrainCheckInterval{50};
/** Peers that have not yet heard of the stop still send requests for this
 * long. */
constexpr milliseconds kPeerNoticeTime{1000};

std::uint64_t IncarnationNow(const ClockPort& clock) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          clock.wall_now().time_since_epoch())
          .count());
}

}  // namespace

/**
 * The control thread is the one that calls Run: it alone touches the
 * directory. Traffic threads get immutable views from it. Messages of peers
 * arrive on nng's threads and are posted to the thread that they concern.
 */
class ProxyProgram::Impl {
 public:
  Impl(ProxySettings settings, EventPort events, ClockPort clock);
  ~Impl();

  void Run();

 private:
  void MakeTrafficThreads();
  void MakeHttpServer();
  CallerApiHooks ApiHooksFor(boost::asio::io_context& io);
  TrafficThread& ThreadOf(const DatabaseId& database);
  void OnPeerMessage(PeerMessage message);
  void OnMembershipUpdate(const PeerMessage& message);
  void Announce(boost::asio::io_context& io, const MemberAnnouncement& made,
                const std::function<void(const std::string&)>& done);
  void OnHeartbeat();
  void SendHeartbeat();
  void Publish();
  void BeginStop();
  void CheckDrained();
  void EndStop();

  ProxySettings settings;
  EventPort events;
  ClockPort clock;
  boost::asio::io_context control;
  boost::asio::signal_set signals;
  boost::asio::steady_timer heartbeat;
  boost::asio::steady_timer drain_timer;
  MemberDirectory directory;
  std::vector<std::unique_ptr<TrafficThread>> threads;
  std::shared_ptr<HttpServer> http;
  std::unique_ptr<PeerSocket> peers;
  PeerPort peer_port;
  std::atomic<bool> stopping{false};
  std::chrono::steady_clock::time_point stop_began;
  std::size_t counted = 0;
  std::size_t unfinished = 0;
};

ProxyProgram::Impl::Impl(ProxySettings proxy_settings, EventPort event_port,
                         ClockPort clock_port)
    : settings(std::move(proxy_settings)),
      events(std::move(event_port)),
      clock(std::move(clock_port)),
      signals(this->control, SIGTERM, SIGINT),
      heartbeat(this->control),
      drain_timer(this->control),
      directory(ProxyInfo{this->settings.node, this->settings.zone,
                          this->settings.peer_url, false}) {
  this->MakeTrafficThreads();
  this->peers = std::make_unique<PeerSocket>(
      this->settings.peer_url,
      PeerSocketHooks{[this](PeerMessage message) {
                        this->OnPeerMessage(std::move(message));
                      },
                      [this](const std::string& reason) {
                        this->events.record(
                            Event{EventCode::kPeerMessageRejected,
                                  EventLevel::kWarning,
                                  {{"reason", reason}}});
                      }});
  this->peer_port = this->peers->Port();
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
  traffic.status_sql = this->settings.dialect.status;
  traffic.incarnation = IncarnationNow(this->clock);
  const TrafficThreadHooks hooks{
      [this](const std::string& url, const PeerBody& body) {
        // Questions and answers about positions are many and small; their
        // receiver knows the sender's address from its view.
        const bool small = std::holds_alternative<PositionProbe>(body) ||
                           std::holds_alternative<PositionSample>(body);
        this->peer_port.send(
            url,
            PeerMessage{this->settings.node,
                        small ? std::string() : this->settings.peer_url, body});
      },
      this->events, this->clock};
  for (std::size_t i = 0; i < this->settings.traffic_threads; ++i) {
    this->threads.push_back(std::make_unique<TrafficThread>(
        hooks, traffic, this->settings.dialect.user, i,
        this->settings.traffic_threads));
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
    TrafficThread& thread = this->ThreadOf(request.database);
    ReplyHook back = [&io, reply = std::move(reply)](const Outcome& outcome) {
      boost::asio::dispatch(io, [reply, outcome] { reply(outcome); });
    };
    thread.Submit(std::move(request), std::move(back));
  };
  hooks.announce = [this, &io](const MemberAnnouncement& made,
                               std::function<void(const std::string&)> done) {
    boost::asio::post(this->control, [this, &io, made, done = std::move(done)] {
      this->Announce(io, made, done);
    });
  };
  hooks.accepting = [this] { return !this->stopping.load(); };
  hooks.metrics = [] { return std::string(); };
  return hooks;
}

TrafficThread& ProxyProgram::Impl::ThreadOf(const DatabaseId& database) {
  return *this->threads[TrafficShard::IndexOf(database, this->threads.size())];
}

void ProxyProgram::Impl::OnPeerMessage(PeerMessage message) {
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
    boost::asio::post(this->control, [this, message = std::move(message)] {
      this->OnMembershipUpdate(message);
    });
  }
}

void ProxyProgram::Impl::OnMembershipUpdate(const PeerMessage& message) {
  const auto* update = std::get_if<MembershipUpdate>(&message.body);
  if (update == nullptr) return;
  try {
    this->directory.OnUpdate(this->clock.now(), *update);
  } catch (const UserError& error) {
    this->events.record(
        Event{EventCode::kPeerMessageRejected,
              EventLevel::kWarning,
              {{"from", message.from.Value()}, {"reason", error.what()}}});
  }
}

void ProxyProgram::Impl::Announce(
    boost::asio::io_context& io, const MemberAnnouncement& made,
    const std::function<void(const std::string&)>& done) {
  std::string problem;
  try {
    this->directory.OnAnnouncement(this->clock.now(), made);
  } catch (const UserError& error) {
    problem = error.what();
    this->events.record(Event{EventCode::kAnnouncementRejected,
                              EventLevel::kWarning,
                              {{"reason", problem}}});
  }
  boost::asio::post(io, [done, problem] { done(problem); });
}

void ProxyProgram::Impl::OnHeartbeat() {
  for (const MemberId& lost : this->directory.Expire(this->clock.now())) {
    this->events.record(Event{EventCode::kMemberLost,
                              EventLevel::kWarning,
                              {{"member", lost.Value()}}});
  }
  this->SendHeartbeat();
  this->Publish();
  this->heartbeat.expires_after(kHeartbeatInterval);
  this->heartbeat.async_wait([this](boost::system::error_code error) {
    if (!error) this->OnHeartbeat();
  });
}

void ProxyProgram::Impl::SendHeartbeat() {
  const PeerMessage message{this->settings.node, this->settings.peer_url,
                            this->directory.TakeUpdate()};
  std::vector<std::string> urls;
  for (const ProxyInfo& peer : this->directory.Peers()) {
    urls.push_back(peer.peer_url);
  }
  for (const PeerAddress& peer : this->settings.peers) {
    urls.push_back(peer.url);
  }
  std::sort(urls.begin(), urls.end());
  urls.erase(std::unique(urls.begin(), urls.end()), urls.end());
  for (const std::string& url : urls) {
    if (url != this->settings.peer_url) this->peer_port.send(url, message);
  }
}

void ProxyProgram::Impl::Publish() {
  const auto view =
      std::make_shared<const RoutingView>(this->directory.BuildView());
  for (auto& thread : this->threads) thread->Publish(view);
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
  this->OnHeartbeat();
  this->control.run();
}

void ProxyProgram::Impl::BeginStop() {
  this->events.record(Event{EventCode::kProcessStopping});
  this->stopping = true;
  this->stop_began = this->clock.now();
  this->directory.StartDraining();
  this->SendHeartbeat();
  boost::asio::post(this->threads.front()->Io(),
                    [server = this->http] { server->Stop(); });
  this->CheckDrained();
}

void ProxyProgram::Impl::CheckDrained() {
  this->counted = 0;
  this->unfinished = 0;
  for (auto& thread : this->threads) {
    thread->CountUnfinished(
        [this](std::size_t requests, std::size_t transactions) {
          boost::asio::post(this->control, [this, requests, transactions] {
            ++this->counted;
            this->unfinished += requests + transactions;
            if (this->counted == this->threads.size()) this->EndStop();
          });
        });
  }
}

void ProxyProgram::Impl::EndStop() {
  const auto stopped_for = this->clock.now() - this->stop_began;
  const bool noticed = stopped_for >= kPeerNoticeTime;
  if ((this->unfinished == 0 && noticed) ||
      stopped_for >= this->settings.drain_limit) {
    this->heartbeat.cancel();
    this->control.stop();
    return;
  }
  this->drain_timer.expires_after(kDrainCheckInterval);
  this->drain_timer.async_wait([this](boost::system::error_code error) {
    if (!error) this->CheckDrained();
  });
}

ProxyProgram::ProxyProgram(ProxySettings settings, EventPort events,
                           ClockPort clock)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(events),
                                  std::move(clock))) {}

ProxyProgram::~ProxyProgram() = default;

void ProxyProgram::Run() { this->impl->Run(); }

}  // namespace lacewingferry
