#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_DATABASE_TRAFFIC_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_DATABASE_TRAFFIC_H_

// Defines DatabaseTraffic, the path of every request for one database at one
// proxy, from its receipt to its one outcome.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/traffic/answer_gate.h"
#include "lacewingferry/decisions/traffic/attempt_history.h"
#include "lacewingferry/decisions/traffic/forward_table.h"
#include "lacewingferry/decisions/traffic/job.h"
#include "lacewingferry/decisions/traffic/member_executor.h"

namespace lacewingferry {

/** What the traffic decisions act through. */
struct TrafficHooks {
  MemberPort port;
  EventPort events;
  /** Sends a message to another proxy; it may get lost. */
  std::function<void(const NodeId&, const PeerBody&)> send;
  /** A number for a new connection, unique in the process. */
  std::function<ConnectionId()> next_connection;
  /** Told what the traffic shows of the members; may be empty. */
  MemberSignHook observe;
  /** Writes and reads the stored answers of identified requests. */
  AnswerCodec codec;
};

/** Who decides, and how. */
struct TrafficSettings {
  NodeId node;
  AvailabilityZone zone;
  std::string status_sql;
  /** Differs between the runs of a process. */
  std::uint64_t incarnation = 0;
  RequestRecordSql request_record{};
  TransactionLimits transactions{};
  /** The end of the lease before control has granted one. */
  std::chrono::steady_clock::time_point first_lease =
      std::chrono::steady_clock::time_point::max();
};

/**
 * Routes the requests for one database. The steps of a request:
 *
 *   Submit          a caller's request arrives
 *   Route           a member is chosen, and the proxy that owns a connection
 *   RunHere         this proxy owns one: the member's executor runs it, or
 *   Forward         the owner runs it and sends back the outcome
 *   OnOutcome       a refusal that is known not to have run may be routed
 *                   anew until the deadline; all else goes to the caller
 *
 * Requests of other proxies enter at OnForward and go no further hop.
 */
class DatabaseTraffic {
 public:
  DatabaseTraffic(DatabaseId id, TrafficHooks hooks, TrafficSettings settings);

  /** Takes a newer picture of the cluster. */
  void OnView(std::chrono::steady_clock::time_point now,
              const RoutingViewPtr& view);

  /** Takes a caller's request; reply gets its outcome exactly once. */
  void Submit(std::chrono::steady_clock::time_point now,
              StatementRequest request, ReplyHook reply);

  /** Takes a request that another proxy sent to this owner. */
  void OnForward(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const ForwardRequest& forward);

  /** Takes an owner's answer. */
  void OnForwardReply(std::chrono::steady_clock::time_point now,
                      const NodeId& from, const ForwardReply& reply);

  /** Takes the end of this proxy's lease by its own clock. A write is
   * acknowledged, and a read at the primary answered, only before it. */
  void OnLease(std::chrono::steady_clock::time_point now,
               std::chrono::steady_clock::time_point until);

  /** Gives up a term and all before it for good. */
  void ReleaseTerm(std::chrono::steady_clock::time_point now,
                   std::uint64_t term);

  /** Runs a statement of control on an own connection of the member. */
  void RunControlStatement(std::chrono::steady_clock::time_point now,
                           const MemberId& member, ControlCall call);

  /** Closes connections to a member at once until no more than most exist. */
  void LimitConnections(std::chrono::steady_clock::time_point now,
                        const MemberId& member, std::size_t most);

  /** Connections to one member, also those being opened. */
  std::size_t Connections(const MemberId& member) const;

  /** The events of this database's connections. */
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const BatchResult& result);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Requests without an outcome. */
  std::size_t Unfinished() const;

  /** Transactions that are open on this proxy's connections. */
  std::size_t OpenTransactions() const;

  /** Connections to all members, also those being opened. */
  std::size_t Connections() const;

 private:
  /** A caller's request on its way. */
  struct Routed {
    Job job;
    std::set<MemberId> excluded;
    MemberId member;
    AttemptHistory history;
  };
  using RoutedPtr = std::shared_ptr<Routed>;

  void Route(const RoutedPtr& routed);
  void RouteInTransaction(const RoutedPtr& routed);
  void RunHere(const RoutedPtr& routed, const MemberId& member);
  void Forward(const RoutedPtr& routed, const NodeId& owner,
               const MemberId& member);
  void Tell(const RoutedPtr& routed, const Outcome& outcome);
  void OnOutcome(const RoutedPtr& routed, const Outcome& outcome);
  void OnOwnerSilent(const ForwardedJob& forwarded);
  std::uint64_t SetAttemptTerm(Routed& routed) const;
  std::unique_ptr<MemberExecutor> MakeExecutor(const MemberId& member);
  void RouteLater(const RoutedPtr& routed);
  MemberExecutor* FindExecutor(const MemberId& member);
  MemberExecutor* FindExecutor(ConnectionId id);
  void ConfigureExecutors();
  void FailForwardsToLostProxies();
  TransactionId NextTransaction(const MemberId& member);

  DatabaseId id;
  TrafficHooks hooks;
  TrafficSettings settings;
  RoutingViewPtr view;
  const DatabaseView* database = nullptr;
  AnswerGate gate;
  RetryBudget retries;
  std::chrono::steady_clock::time_point now;
  std::map<MemberId, std::unique_ptr<MemberExecutor>> executors;
  ForwardTable forwards;
  std::multimap<std::chrono::steady_clock::time_point, RoutedPtr> delayed;
  std::uint64_t next_transaction;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_DATABASE_TRAFFIC_H_
