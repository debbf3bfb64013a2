#include "lacewingferry/decisions/traffic/traffic_shard.h"

#include <functional>
#include <utility>
#include <vector>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** Connection numbers of different shards don't meet. */
constexpr ConnectionId kConnectionsPerShard = 1ULL << 40U;

}  // namespace

TrafficShard::TrafficShard(TrafficHooks traffic_hooks,
                           TrafficSettings traffic_settings,
                           std::size_t shard_index, std::size_t shard_count)
    : hooks(std::move(traffic_hooks)),
      settings(std::move(traffic_settings)),
      index(shard_index),
      count(shard_count),
      next_connection(1 + shard_index * kConnectionsPerShard),
      lease_until(this->settings.first_lease) {}

std::size_t TrafficShard::IndexOf(const DatabaseId& database,
                                  std::size_t shard_count) {
  return std::hash<DatabaseId>()(database) % shard_count;
}

void TrafficShard::OnView(steady_clock::time_point now,
                          const RoutingViewPtr& view) {
  for (const auto& entry : view->databases) {
    if (IndexOf(entry.first, this->count) != this->index) continue;
    if (this->databases.count(entry.first) > 0) continue;
    TrafficHooks own = this->hooks;
    own.next_connection = [this, id = entry.first] {
      this->connections[this->next_connection] = id;
      return this->next_connection++;
    };
    own.port.close = [this](ConnectionId id) {
      this->connections.erase(id);
      this->hooks.port.close(id);
    };
    const auto added = this->databases.emplace(
        entry.first, std::make_unique<DatabaseTraffic>(
                         entry.first, std::move(own), this->settings));
    added.first->second->OnLease(now, this->lease_until);
  }
  for (auto& entry : this->databases) {
    entry.second->OnView(now, view);
    this->Reschedule(entry.first, *entry.second);
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
  DatabaseTraffic* traffic = this->Find(reply.database);
  if (traffic == nullptr) return;
  traffic->OnForwardReply(now, from, reply);
  this->Reschedule(reply.database, *traffic);
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
  this->OnConnection(
      id, [&](DatabaseTraffic& traffic) { traffic.OnOpened(now, id); });
}

void TrafficShard::OnLost(steady_clock::time_point now, ConnectionId id,
                          ConnectionFailure failure) {
  this->OnConnection(
      id, [&](DatabaseTraffic& traffic) { traffic.OnLost(now, id, failure); });
  this->connections.erase(id);
}

void TrafficShard::OnCompleted(steady_clock::time_point now, ConnectionId id,
                               const BatchResult& result) {
  this->OnConnection(id, [&](DatabaseTraffic& traffic) {
    traffic.OnCompleted(now, id, result);
  });
}

void TrafficShard::OnLease(steady_clock::time_point now,
                           steady_clock::time_point until) {
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
  DatabaseTraffic* traffic = this->Find(database);
  if (traffic == nullptr) return;
  traffic->ReleaseTerm(now, term);
  this->Reschedule(database, *traffic);
}

void TrafficShard::LimitConnections(steady_clock::time_point now,
                                    const DatabaseId& database,
                                    const MemberId& member, std::size_t most) {
  DatabaseTraffic* traffic = this->Find(database);
  if (traffic == nullptr) return;
  traffic->LimitConnections(now, member, most);
  this->Reschedule(database, *traffic);
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
                                       SqlStatement statement,
                                       steady_clock::time_point deadline,
                                       ControlReply reply) {
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
  if (this->due.empty()) return std::nullopt;
  return this->due.begin()->first;
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
