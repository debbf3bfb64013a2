#include "lacewingferry/decisions/traffic/traffic_shard.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** Size of the range of connection ids of one shard; ranges do not overlap. */
constexpr ConnectionId kConnectionsPerShard = 1ULL << 40U;
/** Share of a proxy's 3 KB/s limit on control messages that may be spent on
 * probes and samples of primaries' log positions. */
constexpr std::uint64_t kPositionBytesPerSecond = 1536;

}  // namespace

TrafficShard::TrafficShard(TrafficHooks traffic_hooks,
                           TrafficSettings traffic_settings,
                           std::size_t shard_index, std::size_t shard_count)
    : hooks(std::move(traffic_hooks)),
      settings(std::move(traffic_settings)),
      index(shard_index),
      count(shard_count),
      next_connection(1 + shard_index * kConnectionsPerShard),
      outbox([this](const NodeId& node,
                    const PeerBody& body) { this->hooks.send(node, body); },
             std::max<std::uint64_t>(1, kPositionBytesPerSecond / shard_count)),
      lease_until(this->settings.first_lease) {}

std::size_t TrafficShard::IndexOf(const DatabaseId& database,
                                  std::size_t shard_count) {
  return std::hash<DatabaseId>()(database) % shard_count;
}

void TrafficShard::OnView(steady_clock::time_point now,
                          const RoutingViewPtr& view) {
  this->event_time = now;
  for (const auto& entry : view->databases) {
    if (IndexOf(entry.first, this->count) != this->index) continue;
    if (this->databases.count(entry.first) > 0) continue;
    const auto added = this->databases.emplace(
        entry.first,
        std::make_unique<DatabaseTraffic>(
            entry.first, this->HooksFor(entry.first), this->settings));
    added.first->second->OnLease(now, this->lease_until);
    if (this->seats != nullptr) added.first->second->OnSeats(now, this->seats);
  }
  for (auto& entry : this->databases) {
    entry.second->OnView(now, view);
    this->Reschedule(entry.first, *entry.second);
  }
}

TrafficHooks TrafficShard::HooksFor(const DatabaseId& database) {
  TrafficHooks database_hooks = this->hooks;
  database_hooks.next_connection = [this, database] {
    this->connections[this->next_connection] = database;
    return this->next_connection++;
  };
  database_hooks.port.close = [this](ConnectionId id) {
    this->connections.erase(id);
    this->hooks.port.close(id);
  };
  database_hooks.send = [this](const NodeId& node, const PeerBody& body) {
    this->Send(node, body);
  };
  return database_hooks;
}

void TrafficShard::Send(const NodeId& node, const PeerBody& body) {
  if (const auto* probe = std::get_if<PositionProbe>(&body)) {
    for (const ProbedDatabase& probed : probe->databases) {
      this->outbox.Add(this->event_time, node, probed);
    }
  } else if (const auto* sample = std::get_if<PositionSample>(&body)) {
    for (const SampledPosition& answer : sample->samples) {
      this->outbox.Add(this->event_time, node, answer);
    }
  } else {
    this->hooks.send(node, body);
  }
}

DatabaseTraffic* TrafficShard::Find(const DatabaseId& database) {
  const auto found = this->databases.find(database);
  return found == this->databases.end() ? nullptr : found->second.get();
}

void TrafficShard::Reschedule(const DatabaseId& database,
                              const DatabaseTraffic& traffic) {
  const auto known = this->due_at.find(database);
  const auto next = traffic.NextWakeup();
  if (known != this->due_at.end()) {
    if (next && known->second == *next) return;
    this->due.erase({known->second, database});
    this->due_at.erase(known);
  }
  if (!next) return;
  this->due_at.emplace(database, *next);
  this->due.emplace(*next, database);
}

void TrafficShard::Submit(steady_clock::time_point now,
                          StatementRequest request, ReplyHook reply) {
  this->event_time = now;
  const DatabaseId database = request.database;
  DatabaseTraffic* traffic = this->Find(database);
  if (traffic == nullptr) {
    reply(NotRun{RefusalCode::kUnknownDatabase,
                 "no member has announced database " + database.Value()});
    return;
  }
  traffic->Submit(now, std::move(request), std::move(reply));
  this->Reschedule(database, *traffic);
}

void TrafficShard::OnForward(steady_clock::time_point now, const NodeId& from,
                             const ForwardRequest& forward) {
  this->event_time = now;
  DatabaseTraffic* traffic = this->Find(forward.request.database);
  if (traffic == nullptr) {
    this->hooks.send(
        from, ForwardReply{forward.forward_id, forward.request.database,
                           NotRun{RefusalCode::kNoOwner, "unknown here"}});
    return;
  }
  traffic->OnForward(now, from, forward);
  this->Reschedule(forward.request.database, *traffic);
}

void TrafficShard::OnForwardReply(steady_clock::time_point now,
                                  const NodeId& from,
                                  const ForwardReply& reply) {
  this->event_time = now;
  DatabaseTraffic* traffic = this->Find(reply.database);
  if (traffic == nullptr) return;
  traffic->OnForwardReply(now, from, reply);
  this->Reschedule(reply.database, *traffic);
}

void TrafficShard::OnProbe(steady_clock::time_point now, const NodeId& from,
                           const PositionProbe& probe) {
  this->event_time = now;
  for (const ProbedDatabase& probed : probe.databases) {
    DatabaseTraffic* traffic = this->Find(probed.database);
    if (traffic == nullptr) continue;
    traffic->OnProbe(now, from, probed);
    this->Reschedule(probed.database, *traffic);
  }
}

void TrafficShard::OnSample(steady_clock::time_point now,
                            const PositionSample& sample) {
  this->event_time = now;
  for (const SampledPosition& answer : sample.samples) {
    DatabaseTraffic* traffic = this->Find(answer.database);
    if (traffic == nullptr) continue;
    traffic->OnSample(now, answer);
    this->Reschedule(answer.database, *traffic);
  }
}

template <typename Action>
void TrafficShard::OnConnection(ConnectionId id, Action action) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  const DatabaseId database = found->second;
  DatabaseTraffic& traffic = *this->databases.at(database);
  action(traffic);
  this->Reschedule(database, traffic);
}

void TrafficShard::OnOpened(steady_clock::time_point now, ConnectionId id) {
  this->event_time = now;
  this->OnConnection(
      id, [&](DatabaseTraffic& traffic) { traffic.OnOpened(now, id); });
}

void TrafficShard::OnLost(steady_clock::time_point now, ConnectionId id,
                          ConnectionFailure failure) {
  this->event_time = now;
  this->OnConnection(
      id, [&](DatabaseTraffic& traffic) { traffic.OnLost(now, id, failure); });
  this->connections.erase(id);
}

void TrafficShard::OnCompleted(steady_clock::time_point now, ConnectionId id,
                               const MemberBatchResult& result) {
  this->event_time = now;
  this->OnConnection(id, [&](DatabaseTraffic& traffic) {
    traffic.OnCompleted(now, id, result);
  });
}

void TrafficShard::OnLease(steady_clock::time_point now,
                           steady_clock::time_point until) {
  this->event_time = now;
  this->lease_until = until;
  for (auto& entry : this->databases) {
    entry.second->OnLease(now, until);
    this->Reschedule(entry.first, *entry.second);
  }
}

void TrafficShard::OnDatabaseLease(steady_clock::time_point now,
                                   const DatabaseId& database,
                                   steady_clock::time_point until) {
  DatabaseTraffic* traffic = this->Find(database);
  if (traffic == nullptr) return;
  traffic->OnLease(now, until);
  this->Reschedule(database, *traffic);
}

void TrafficShard::ReleaseTerm(steady_clock::time_point now,
                               const DatabaseId& database, std::uint64_t term) {
  this->event_time = now;
  DatabaseTraffic* traffic = this->Find(database);
  if (traffic == nullptr) return;
  traffic->ReleaseTerm(now, term);
  this->Reschedule(database, *traffic);
}

SeatReport TrafficShard::OnSeats(steady_clock::time_point now,
                                 const SeatTablePtr& table) {
  this->event_time = now;
  this->seats = table;
  SeatReport report;
  report.table = table->number;
  for (auto& entry : this->databases) {
    const std::size_t before = report.connections.size();
    entry.second->OnSeats(now, table);
    entry.second->AddConnections(report.connections);
    const bool owns = report.connections.size() > before;
    if (owns) this->Reschedule(entry.first, *entry.second);
  }
  return report;
}

std::size_t TrafficShard::Connections(const DatabaseId& database,
                                      const MemberId& member) const {
  const auto found = this->databases.find(database);
  return found == this->databases.end() ? 0
                                        : found->second->Connections(member);
}

void TrafficShard::RunControlStatement(steady_clock::time_point now,
                                       const DatabaseId& database,
                                       const MemberId& member,
                                       MemberStatement statement,
                                       steady_clock::time_point deadline,
                                       ControlReply reply) {
  this->event_time = now;
  DatabaseTraffic* traffic = this->Find(database);
  if (traffic == nullptr) {
    reply(std::nullopt);
    return;
  }
  traffic->RunControlStatement(
      now, member,
      ControlCall{std::move(statement), deadline, std::move(reply)});
  this->Reschedule(database, *traffic);
}

void TrafficShard::OnTick(steady_clock::time_point now) {
  this->event_time = now;
  this->outbox.OnTick(now);
  std::vector<DatabaseId> ready;
  for (const auto& entry : this->due) {
    if (entry.first > now) break;
    ready.push_back(entry.second);
  }
  for (const DatabaseId& database : ready) {
    DatabaseTraffic& traffic = *this->databases.at(database);
    traffic.OnTick(now);
    this->Reschedule(database, traffic);
  }
}

std::optional<steady_clock::time_point> TrafficShard::NextWakeup() const {
  std::optional<steady_clock::time_point> next = this->outbox.NextWakeup();
  if (this->due.empty()) return next;
  const steady_clock::time_point first = this->due.begin()->first;
  return next ? std::min(*next, first) : first;
}

template <typename Counter>
std::size_t TrafficShard::Sum(Counter counter) const {
  std::size_t sum = 0;
  for (const auto& entry : this->databases) sum += counter(*entry.second);
  return sum;
}

std::size_t TrafficShard::Unfinished() const {
  return this->Sum([](const DatabaseTraffic& t) { return t.Unfinished(); });
}

std::size_t TrafficShard::OpenTransactions() const {
  return this->Sum(
      [](const DatabaseTraffic& t) { return t.OpenTransactions(); });
}

std::size_t TrafficShard::Connections() const {
  return this->Sum([](const DatabaseTraffic& t) { return t.Connections(); });
}

}  // namespace lacewingferry
