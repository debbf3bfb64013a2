#include "lacewingferry/app/traffic_thread.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "lacewingferry/adapters/json/stored_answer_json.h"
#include "lacewingferry/app/run_io_context.h"
#include "lacewingferry/app/wait_until.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** No timer is armed. */
constexpr steady_clock::time_point kNotArmed = steady_clock::time_point::max();

TrafficHooks MakeHooks(
    MemberPort port, EventPort events, MemberObservationHook observe,
    std::function<void(const NodeId&, const PeerBody&)> send) {
  TrafficHooks hooks;
  hooks.port = std::move(port);
  hooks.events = std::move(events);
  hooks.observe = std::move(observe);
  hooks.send = std::move(send);
  hooks.codec = AnswerCodec{FormatStoredAnswer, ParseStoredAnswer};
  return hooks;
}

}  // namespace

TrafficThread::TrafficThread(TrafficThreadHooks thread_hooks,
                             const TrafficSettings& settings,
                             const MemberDialect& dialect, std::size_t index,
                             std::size_t count)
    : hooks(std::move(thread_hooks)),
      work(boost::asio::make_work_guard(this->io)),
      timer(this->io),
      armed_for(kNotArmed),
      connections(this->io, dialect, this->hooks.events),
      shard(MakeHooks(this->connections.Port(), this->hooks.events,
                      this->hooks.observe,
                      [this](const NodeId& node, const PeerBody& body) {
                        this->Send(node, body);
                      }),
            settings, index, count) {
  this->connections.SetEvents(this->Events());
  // Nothing is answered in a primary's name before control grants a lease.
  this->shard.OnLease(this->hooks.clock.now(), this->hooks.clock.now());
}

TrafficThread::~TrafficThread() { this->Stop(); }

void TrafficThread::Start() {
  this->thread =
      std::thread([this] { RunIoContext(this->io, this->hooks.events); });
}

void TrafficThread::Stop() {
  this->io.stop();
  if (this->thread.joinable()) this->thread.join();
}

MemberEvents TrafficThread::Events() {
  return MemberEvents{
      [this](ConnectionId id) {
        this->shard.OnOpened(this->hooks.clock.now(), id);
        this->ArmTimer();
      },
      [this](ConnectionId id, ConnectionFailure failure) {
        this->shard.OnLost(this->hooks.clock.now(), id, failure);
        this->ArmTimer();
      },
      [this](ConnectionId id, const MemberBatchResult& result) {
        this->shard.OnCompleted(this->hooks.clock.now(), id, result);
        this->ArmTimer();
      }};
}

void TrafficThread::Send(const NodeId& node, const PeerBody& body) {
  if (this->view == nullptr) return;
  for (const ProxyInfo& proxy : this->view->proxies) {
    if (proxy.id == node) {
      this->hooks.send(proxy.peer_url, body);
      return;
    }
  }
}

template <typename Action>
void TrafficThread::Post(Action action) {
  boost::asio::post(this->io, [this, action = std::move(action)]() mutable {
    action(this->hooks.clock.now());
    this->ArmTimer();
  });
}

void TrafficThread::ArmTimer() {
  const auto next = this->shard.NextWakeup();
  if (!next || *next == this->armed_for) return;
  this->armed_for = *next;
  WaitUntil(this->timer, this->hooks.clock.now(), *next);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->armed_for = kNotArmed;
    this->shard.OnTick(this->hooks.clock.now());
    this->ArmTimer();
  });
}

void TrafficThread::Publish(const RoutingViewPtr& new_view) {
  this->Post([this, new_view](steady_clock::time_point now) {
    this->view = new_view;
    this->shard.OnView(now, new_view);
  });
}

void TrafficThread::PublishSeats(
    const SeatTablePtr& table, std::function<void(const SeatReport&)> report) {
  this->Post(
      [this, table, report = std::move(report)](steady_clock::time_point now) {
        report(this->shard.OnSeats(now, table));
      });
}

void TrafficThread::Submit(StatementRequest request, ReplyHook reply) {
  this->Post([this, request = std::move(request),
              reply = std::move(reply)](steady_clock::time_point now) mutable {
    this->shard.Submit(now, std::move(request), std::move(reply));
  });
}

void TrafficThread::OnForward(const NodeId& from,
                              const ForwardRequest& forward) {
  this->Post([this, from, forward](steady_clock::time_point now) {
    this->shard.OnForward(now, from, forward);
  });
}

void TrafficThread::OnForwardReply(const NodeId& from,
                                   const ForwardReply& reply) {
  this->Post([this, from, reply](steady_clock::time_point now) {
    this->shard.OnForwardReply(now, from, reply);
  });
}

void TrafficThread::SetLease(const DatabaseId& database,
                             steady_clock::time_point until) {
  this->Post([this, database, until](steady_clock::time_point now) {
    this->shard.OnDatabaseLease(now, database, until);
  });
}

void TrafficThread::ReleaseTerm(const DatabaseId& database,
                                std::uint64_t term) {
  this->Post([this, database, term](steady_clock::time_point now) {
    this->shard.ReleaseTerm(now, database, term);
  });
}

void TrafficThread::RunAfterPosted(std::function<void()> action) {
  this->Post(
      [action = std::move(action)](steady_clock::time_point) { action(); });
}

void TrafficThread::RunControlStatement(const DatabaseId& database,
                                        const MemberId& member,
                                        const MemberStatement& statement,
                                        steady_clock::time_point deadline,
                                        ControlReply reply) {
  this->Post([this, database, member, statement, deadline,
              reply = std::move(reply)](steady_clock::time_point now) {
    this->shard.RunControlStatement(now, database, member, statement, deadline,
                                    reply);
  });
}

void TrafficThread::OnProbe(const NodeId& from, const PositionProbe& probe) {
  this->Post([this, from, probe](steady_clock::time_point now) {
    this->shard.OnProbe(now, from, probe);
  });
}

void TrafficThread::OnSample(const PositionSample& sample) {
  this->Post([this, sample](steady_clock::time_point now) {
    this->shard.OnSample(now, sample);
  });
}

void TrafficThread::CountUnfinished(
    std::function<void(std::size_t, std::size_t)> report) {
  this->Post([this, report = std::move(report)](steady_clock::time_point) {
    report(this->shard.Unfinished(), this->shard.OpenTransactions());
  });
}

}  // namespace lacewingferry
