#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_SHARD_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_SHARD_H_

// Defines TrafficShard, the databases that one traffic thread serves.

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "lacewingferry/decisions/freshness/position_outbox.h"
#include "lacewingferry/decisions/traffic/database_traffic.h"

namespace lacewingferry {

/** Owns the DatabaseTraffic of every database of one thread, passes each event
 * to the one that it concerns, and keeps the time at which each is due. */
class TrafficShard {
 public:
  /** next_connection of the hooks is filled in here. Databases whose hash
   * modulo count is index belong to this shard. */
  TrafficShard(TrafficHooks hooks, TrafficSettings settings, std::size_t index,
               std::size_t count);

  /** The shard of a database among count shards. */
  static std::size_t IndexOf(const DatabaseId& database, std::size_t count);

  void OnView(std::chrono::steady_clock::time_point now,
              const RoutingViewPtr& view);
  void Submit(std::chrono::steady_clock::time_point now,
              StatementRequest request, ReplyHook reply);
  void OnForward(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const ForwardRequest& forward);
  void OnForwardReply(std::chrono::steady_clock::time_point now,
                      const NodeId& from, const ForwardReply& reply);
  void OnProbe(std::chrono::steady_clock::time_point now, const NodeId& from,
               const PositionProbe& probe);
  void OnSample(std::chrono::steady_clock::time_point now,
                const PositionSample& sample);
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const MemberBatchResult& result);

  /** Takes the end of the proxy's one lease, by its own clock, for all its
   * databases. Whoever calls this has to see to it that every change of term
   * that the grant knew of came before, as a view or a released term: a grant
   * made after a promotion would else let the replaced primary answer. */
  void OnLease(std::chrono::steady_clock::time_point now,
               std::chrono::steady_clock::time_point until);

  /** Takes the end of the lease on one database. */
  void OnDatabaseLease(std::chrono::steady_clock::time_point now,
                       const DatabaseId& database,
                       std::chrono::steady_clock::time_point until);

  /** Ends all answers of a database's primary in a term and those before it,
   * for good. */
  void ReleaseTerm(std::chrono::steady_clock::time_point now,
                   const DatabaseId& database, std::uint64_t term);

  /** Takes the slots that this proxy holds: closes connections above them at
   * once, and again when one ends. Returns the connections that exist then. */
  SeatReport OnSeats(std::chrono::steady_clock::time_point now,
                     const SeatTablePtr& table);

  /** Connections to one member, also those being opened. */
  std::size_t Connections(const DatabaseId& database,
                          const MemberId& member) const;

  /** Runs a statement of control (fence, promote, follow, status) on one of
   * this proxy's own connections of the member, ahead of all requests. reply
   * gets none if this proxy has no connection to it, or no answer until the
   * deadline. */
  void RunControlStatement(std::chrono::steady_clock::time_point now,
                           const DatabaseId& database, const MemberId& member,
                           MemberStatement statement,
                           std::chrono::steady_clock::time_point deadline,
                           ControlReply reply);
  void OnTick(std::chrono::steady_clock::time_point now);
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  std::size_t Unfinished() const;
  std::size_t OpenTransactions() const;
  std::size_t Connections() const;

 private:
  using Entry = std::unique_ptr<DatabaseTraffic>;

  TrafficHooks HooksFor(const DatabaseId& database);
  void Send(const NodeId& node, const PeerBody& body);
  DatabaseTraffic* Find(const DatabaseId& database);
  void Reschedule(const DatabaseId& database, const DatabaseTraffic& traffic);
  template <typename Action>
  void OnConnection(ConnectionId id, Action action);
  template <typename Counter>
  std::size_t Sum(Counter counter) const;

  TrafficHooks hooks;
  TrafficSettings settings;
  std::size_t index;
  std::size_t count;
  ConnectionId next_connection;
  PositionOutbox outbox;
  /** The present of the event that is being handled. */
  std::chrono::steady_clock::time_point present;
  std::unordered_map<DatabaseId, Entry> databases;
  /** None before the first. */
  SeatTablePtr seats;
  std::chrono::steady_clock::time_point lease_until;
  std::unordered_map<ConnectionId, DatabaseId> connections;
  std::unordered_map<DatabaseId, std::chrono::steady_clock::time_point> due_at;
  std::set<std::pair<std::chrono::steady_clock::time_point, DatabaseId>> due;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_SHARD_H_
