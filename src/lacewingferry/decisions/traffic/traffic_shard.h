#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_SHARD_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_SHARD_H_

// Defines TrafficShard, which serves the databases of one traffic thread.

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
 * to the database it concerns, and tracks when each needs its next OnTick. */
class TrafficShard {
 public:
  /** Sets hooks.next_connection itself. A database belongs to this shard if its
   * hash modulo count is index. */
  TrafficShard(TrafficHooks hooks, TrafficSettings settings, std::size_t index,
               std::size_t count);

  /** The index of the shard, out of count, that serves a database. */
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

  /** Sets the end of the proxy's lease, by its own clock, for all databases.
   * Before this call, the caller must pass on every change of term that
   * preceded the grant, by OnView or ReleaseTerm. Otherwise a lease granted
   * after a promotion would let the replaced primary answer. */
  void OnLease(std::chrono::steady_clock::time_point now,
               std::chrono::steady_clock::time_point until);

  /** Sets the end of the lease on one database. */
  void OnDatabaseLease(std::chrono::steady_clock::time_point now,
                       const DatabaseId& database,
                       std::chrono::steady_clock::time_point until);

  /** Permanently stops answers of a database's primary in this term and all
   * earlier ones. */
  void ReleaseTerm(std::chrono::steady_clock::time_point now,
                   const DatabaseId& database, std::uint64_t term);

  /** Applies the table of connection slots that this proxy holds: closes
   * connections in excess of them now, and later as slots end. Returns the
   * number of connections that remain. */
  SeatReport OnSeats(std::chrono::steady_clock::time_point now,
                     const SeatTablePtr& table);

  /** Connections to one member, including those being opened. */
  std::size_t Connections(const DatabaseId& database,
                          const MemberId& member) const;

  /** Runs a statement of the control service (fence, promote, follow, status)
   * on one of this proxy's connections to the member, ahead of all requests.
   * Calls reply with nullopt if this proxy has no connection to the member or
   * gets no answer by the deadline. */
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
  /** The time of the event that is being handled. */
  std::chrono::steady_clock::time_point event_time;
  std::unordered_map<DatabaseId, Entry> databases;
  /** nullptr before the first table. */
  SeatTablePtr seats;
  std::chrono::steady_clock::time_point lease_until;
  std::unordered_map<ConnectionId, DatabaseId> connections;
  std::unordered_map<DatabaseId, std::chrono::steady_clock::time_point> due_at;
  std::set<std::pair<std::chrono::steady_clock::time_point, DatabaseId>> due;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_SHARD_H_
