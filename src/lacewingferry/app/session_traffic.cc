#include "lacewingferry/app/session_traffic.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "lacewingferry/adapters/histogram/gauge_text.h"
#include "lacewingferry/app/run_io_context.h"
#include "lacewingferry/app/wait_until.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

RequestKind KindOf(const StatementRun& run) {
  switch (run.statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      return RequestKind::kBegin;
    case StatementKind::kCommit:
      return RequestKind::kCommit;
    case StatementKind::kRollback:
      return RequestKind::kRollback;
    default:
      return run.writes ? RequestKind::kWrite : RequestKind::kRead;
  }
}

Outcome OutcomeOf(const StatementRun& run, const ClientReply& reply) {
  if (!reply.error) {
    Answered answered;
    answered.served_by_replica = run.least_position.has_value();
    return answered;
  }
  switch (*reply.error) {
    case StatementError::kUnknown:
    case StatementError::kTimeout:
      return UnknownOutcome{};
    case StatementError::kFailed:
      return StatementFailed{};
    default:
      return NotRun{};
  }
}

}  // namespace

SessionTraffic::SessionTraffic(SessionTrafficParts traffic_parts)
    : parts(std::move(traffic_parts)),
      work(boost::asio::make_work_guard(this->io)),
      timer(this->io),
      armed_for(steady_clock::time_point::max()),
      gateway(std::make_unique<Gateway>(this->MakeGatewayHooks(),
                                        this->parts.settings)),
      front(this->parts.make_front(this->io, this->parts.addresses,
                                   this->FrontHooks())) {
  this->KeepGauges(this->parts.clock.now());
}

SessionTraffic::~SessionTraffic() { this->Stop(); }

void SessionTraffic::Start() {
  this->thread =
      std::thread([this] { RunIoContext(this->io, this->parts.events); });
}

void SessionTraffic::Stop() {
  this->io.stop();
  if (this->thread.joinable()) this->thread.join();
}

GatewayHooks SessionTraffic::MakeGatewayHooks() {
  GatewayHooks hooks;
  hooks.reply = [this](ClientId client, const ClientReply& reply) {
    this->front.reply(client, reply);
  };
  hooks.close_client = [this](ClientId client) {
    this->front.close_client(client);
  };
  hooks.open_link = [this](LinkId link, const LinkTarget& target) {
    this->front.open_link(link, target);
  };
  hooks.send = [this](LinkId link, const std::vector<MemberRequest>& requests) {
    this->front.send(link, requests);
  };
  hooks.close_link = [this](LinkId link) { this->front.close_link(link); };
  hooks.recalled = this->parts.recalled;
  hooks.request_permits = this->parts.request_permits;
  hooks.ended = [this](const StatementRun& run, const ClientReply& reply,
                       std::chrono::nanoseconds took) {
    this->Measure(run, reply, took);
  };
  hooks.events = this->parts.events;
  return hooks;
}

SessionFrontHooks SessionTraffic::FrontHooks() {
  SessionFrontHooks hooks;
  hooks.open = [this](const SessionOpening& opening, AdmissionHook done) {
    this->Handle([&](steady_clock::time_point now) {
      this->gateway->Open(now, opening, std::move(done));
    });
  };
  hooks.relay_state = [this](ClientId client, const RelayState& state) {
    this->gateway->OnRelayState(client, state);
    this->session_count = this->gateway->SessionCount();
  };
  hooks.relay_lost = [this](const std::string& host, const NodeId& owner) {
    this->gateway->OnRelayLost(host, owner);
  };
  hooks.relay_failed = [this](ClientId client, const std::string& host) {
    this->gateway->OnRelayFailed(client, host);
  };
  hooks.statement = [this](ClientId client, const ClientStatement& statement) {
    this->Handle([&](steady_clock::time_point now) {
      this->gateway->OnStatement(now, client, statement);
    });
  };
  hooks.client_gone = [this](ClientId client) {
    this->Handle([&](steady_clock::time_point now) {
      this->gateway->OnClientGone(now, client);
    });
  };
  hooks.link_opened = [this](LinkId link,
                             const std::optional<LogPosition>& position) {
    this->Handle([&](steady_clock::time_point now) {
      this->gateway->OnLinkOpened(now, link, position);
    });
  };
  hooks.link_lost = [this](LinkId link) {
    this->Handle([&](steady_clock::time_point now) {
      this->gateway->OnLinkLost(now, link);
    });
  };
  hooks.link_reply = [this](LinkId link, const MemberReply& reply) {
    this->Handle([&](steady_clock::time_point now) {
      this->gateway->OnReply(now, link, reply);
    });
  };
  return hooks;
}

template <typename Action>
void SessionTraffic::Handle(Action action) {
  action(this->parts.clock.now());
  this->session_count = this->gateway->SessionCount();
  this->Arm();
}

template <typename Action>
void SessionTraffic::Post(Action action) {
  boost::asio::post(
      this->io, [this, action = std::move(action)] { this->Handle(action); });
}

/** Sets the timer only when something is due before it would fire. */
void SessionTraffic::Arm() {
  const auto now = this->parts.clock.now();
  const auto next = this->gateway->NextWakeup(now);
  if (next >= this->armed_for) return;
  this->armed_for = next;
  WaitUntil(this->timer, now, next);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->armed_for = steady_clock::time_point::max();
    this->Handle([this](steady_clock::time_point present) {
      this->gateway->OnTick(present);
      this->KeepGauges(present);
    });
  });
}

void SessionTraffic::SetView(GatewayViewPtr view) {
  this->Post([this, view = std::move(view)](steady_clock::time_point now) {
    this->gateway->SetView(now, view);
  });
}

void SessionTraffic::SetLease(const DatabaseId& database, std::uint64_t term,
                              steady_clock::time_point until) {
  this->Post([this, database, term, until](steady_clock::time_point) {
    this->gateway->SetLease(database, term, until);
  });
}

void SessionTraffic::OnPosition(const DatabaseId& database,
                                steady_clock::time_point asked,
                                const LogPosition& position) {
  this->Post([this, database, asked, position](steady_clock::time_point) {
    this->gateway->OnPosition(database, asked, position);
  });
}

void SessionTraffic::Recall(const DatabaseId& database,
                            std::uint64_t before_term,
                            std::chrono::milliseconds patience) {
  this->Post(
      [this, database, before_term, patience](steady_clock::time_point now) {
        this->gateway->Recall(now, database, before_term, patience);
      });
}

void SessionTraffic::OnPermits(const PermitGrant& grant) {
  this->Post([this, grant](steady_clock::time_point now) {
    this->gateway->OnPermits(now, grant);
  });
}

void SessionTraffic::StartDraining() {
  this->Post([this](steady_clock::time_point now) {
    this->gateway->StartDraining(now);
  });
}

void SessionTraffic::EndTransactions() {
  this->Post([this](steady_clock::time_point now) {
    this->gateway->EndTransactions(now);
  });
}

void SessionTraffic::Measure(const StatementRun& run, const ClientReply& reply,
                             std::chrono::nanoseconds took) {
  this->metrics.Record(KindOf(run), OutcomeOf(run, reply), took);
}

void SessionTraffic::KeepGauges(steady_clock::time_point now) {
  std::vector<Gauge> present = this->gateway->Gauges(now);
  const std::lock_guard<std::mutex> lock(this->gauges_mutex);
  this->gauges = std::move(present);
}

std::string SessionTraffic::Metrics() const {
  const std::lock_guard<std::mutex> lock(this->gauges_mutex);
  return this->metrics.Format() + FormatGauges(this->gauges);
}

}  // namespace lacewingferry
