#include "bench/model/baseline_fleet.h"

#include <algorithm>
#include <string>
#include <utility>

#include "lacewingferry/core/group_member_state.h"

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** An idle connection is kept for this long. */
constexpr milliseconds kIdleTime{50};
/** The pause after a member turned a connection away. */
constexpr milliseconds kRetryPause{10};

MemberBatch MakeBatch(const StatementRequest& request) {
  MemberStatement caller;
  caller.caller = request.statement;
  const MemberStatement state{MemberStatementKind::kState};
  if (request.kind == RequestKind::kRead) return MemberBatch{{caller, state}};
  return MemberBatch{{{MemberStatementKind::kBegin},
                      caller,
                      {MemberStatementKind::kCommit},
                      state}};
}

}  // namespace

BaselineFleet::BaselineFleet(EventQueue& event_queue,
                             FleetOptions fleet_options)
    : queue(event_queue),
      options(std::move(fleet_options)),
      network(event_queue, this->options.between_zones,
              this->options.inside_zone),
      group(event_queue, this->network, this->options.group) {
  std::vector<Pool> pools;
  for (std::size_t i = 0; i < this->options.zones.size(); ++i) {
    Pool pool;
    pool.member.id = MemberId("member-" + std::to_string(i));
    pool.member.zone = this->options.zones[i];
    pool.member.slots = this->options.slots;
    this->group.AddMember(pool.member);
    pools.push_back(std::move(pool));
  }
  for (const AvailabilityZone& zone : this->options.zones) {
    for (std::uint32_t i = 0; i < this->options.proxies_per_zone; ++i) {
      this->proxies.push_back(std::make_unique<Proxy>());
      this->proxies.back()->zone = zone;
      this->proxies.back()->pools = pools;
      this->Boot(*this->proxies.back());
    }
  }
}

void BaselineFleet::Boot(Proxy& proxy) {
  proxy.events = MemberEvents{
      [this, &proxy](ConnectionId id) {
        Pool& pool = *proxy.owner.at(id);
        --pool.opening;
        this->Rest(proxy, pool, id);
      },
      [this, &proxy](ConnectionId id, ConnectionFailure) {
        this->OnLost(proxy, id);
      },
      [this, &proxy](ConnectionId id, const MemberBatchResult& result) {
        this->OnCompleted(proxy, id, result);
      }};
  proxy.port = this->group.PortFor(proxy.zone, &proxy.events);
}

void BaselineFleet::Submit(std::size_t number, const StatementRequest& request,
                           ReplyHook reply) {
  Waiting job{request, std::move(reply),
              this->queue.Now() + this->options.to_callers + request.timeout};
  this->queue.After(this->options.to_callers, [this, number, job] {
    Proxy& proxy = *this->proxies[number];
    Pool& pool = this->Choose(proxy, job.request);
    pool.waiting.push_back(job);
    this->queue.At(job.deadline,
                   [this, &proxy, &pool] { this->Pump(proxy, pool); });
    this->Pump(proxy, pool);
  });
}

BaselineFleet::Pool& BaselineFleet::Choose(
    Proxy& proxy, const StatementRequest& request) const {
  const bool replica =
      request.kind == RequestKind::kRead && !request.session_position;
  if (!replica) return proxy.pools.front();
  return *std::min_element(
      proxy.pools.begin() + 1, proxy.pools.end(),
      [this, &proxy](const Pool& a, const Pool& b) {
        return this->network.Latency(a.member.zone, proxy.zone) <
               this->network.Latency(b.member.zone, proxy.zone);
      });
}

void BaselineFleet::Pump(Proxy& proxy, Pool& pool) {
  while (!pool.waiting.empty() &&
         pool.waiting.front().deadline <= this->queue.Now()) {
    this->Reply(pool.waiting.front(),
                NotRun{RefusalCode::kDeadline, "no connection was free"});
    pool.waiting.pop_front();
  }
  while (!pool.waiting.empty() && !pool.idle.empty()) {
    const ConnectionId id = pool.idle.begin()->first;
    pool.idle.erase(pool.idle.begin());
    this->Run(proxy, pool, id);
  }
  while (pool.opening < pool.waiting.size() &&
         pool.opening < this->options.slots) {
    ++pool.opening;
    const ConnectionId id = this->next_connection++;
    proxy.owner[id] = &pool;
    proxy.port.open(id, pool.member);
  }
}

void BaselineFleet::Run(Proxy& proxy, Pool& pool, ConnectionId id) {
  proxy.running[id] = Running{std::move(pool.waiting.front()), &pool};
  pool.waiting.pop_front();
  proxy.port.execute(id, MakeBatch(proxy.running[id].job.request));
}

void BaselineFleet::Rest(Proxy& proxy, Pool& pool, ConnectionId id) {
  const auto since = this->queue.Now();
  pool.idle[id] = since;
  this->Pump(proxy, pool);
  this->queue.After(kIdleTime, [&proxy, &pool, id, since] {
    const auto found = pool.idle.find(id);
    if (found == pool.idle.end() || found->second != since) return;
    pool.idle.erase(found);
    proxy.owner.erase(id);
    proxy.port.close(id);
  });
}

void BaselineFleet::OnLost(Proxy& proxy, ConnectionId id) {
  Pool& pool = *proxy.owner.at(id);
  proxy.owner.erase(id);
  pool.idle.erase(id);
  const auto found = proxy.running.find(id);
  if (found != proxy.running.end()) {
    this->Reply(found->second.job, UnknownOutcome{"the connection was lost"});
    proxy.running.erase(found);
  } else {
    --pool.opening;
  }
  this->queue.After(kRetryPause,
                    [this, &proxy, &pool] { this->Pump(proxy, pool); });
}

void BaselineFleet::OnCompleted(Proxy& proxy, ConnectionId id,
                                const MemberBatchResult& result) {
  const Running done = proxy.running.at(id);
  proxy.running.erase(id);
  const bool read = done.job.request.kind == RequestKind::kRead;
  if (!result.error) {
    Answered answer;
    answer.result = result.results.at(read ? 0 : 1).rows;
    answer.served_by = done.pool->member.id;
    answer.served_by_replica = done.pool != &proxy.pools.front();
    answer.position = SelfState(result.results.back().state).applied;
    this->Reply(done.job, answer);
  } else {
    this->Reply(done.job,
                StatementFailed{result.error->code, result.error->message});
  }
  this->Rest(proxy, *done.pool, id);
}

void BaselineFleet::Reply(const Waiting& job, const Outcome& outcome) {
  this->queue.After(this->options.to_callers,
                    [reply = job.reply, outcome] { reply(outcome); });
}

}  // namespace lacewingferry::model
