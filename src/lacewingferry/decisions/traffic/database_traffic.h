#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_DATABASE_TRAFFIC_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_DATABASE_TRAFFIC_H_

// Defines DatabaseTraffic, the path of every request for one database at one
// proxy, from its receipt to its one outcome.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "lacewingferry/core/job.h"
#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/choice/member_choice.h"
#include "lacewingferry/decisions/forwarding/forward_inbox.h"
#include "lacewingferry/decisions/forwarding/forward_table.h"
#include "lacewingferry/decisions/limits/attempt_history.h"
#include "lacewingferry/decisions/limits/retry_budget.h"
#include "lacewingferry/decisions/limits/retry_schedule.h"
#include "lacewingferry/decisions/traffic/owned_members.h"
#include "lacewingferry/decisions/traffic/traffic_hooks.h"

namespace lacewingferry {

/**
 * Routes the requests for one database. The steps of a request:
 *
 *   Submit          a caller's request arrives
 *   Route           a member is chosen, and the proxy that owns a connection
 *   RunHere         this proxy owns one: OwnedMembers runs it, or
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

  /** Takes a question for the primary's position, and an answer to one. */
  void OnProbe(std::chrono::steady_clock::time_point now, const NodeId& from,
               const ProbedDatabase& question);
  void OnSample(std::chrono::steady_clock::time_point now,
                const SampledPosition& sample);

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

  /** Takes the slots that this proxy holds. */
  void OnSeats(std::chrono::steady_clock::time_point now,
               const SeatTablePtr& table);

  /** Adds the connections to each member, also those being opened. */
  void AddConnections(std::map<MemberId, std::size_t>& counts) const {
    this->owned.AddConnections(counts);
  }

  /** Connections to one member, also those being opened. */
  std::size_t Connections(const MemberId& member) const;

  /** The events of this database's connections. */
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const MemberBatchResult& result);

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
    /** The members that could not serve it, by their places in the view. */
    MemberSet tried;
    std::uint64_t view_number = 0;
    /** How often all members were tried in vain since the last view. */
    std::uint32_t rounds = 0;
    std::size_t place = 0;
    std::chrono::steady_clock::time_point sent_at;
    AttemptHistory history;
    std::optional<NotRun> last_refusal;
  };
  using RoutedPtr = std::shared_ptr<Routed>;

  void SendStoredOutcome(const NodeId& from, const ForwardRequest& forward);
  void Route(const RoutedPtr& routed);
  void RouteInTransaction(const RoutedPtr& routed);
  void RunHere(const RoutedPtr& routed, const MemberId& member);
  std::optional<LogPosition> FreshPosition(
      std::chrono::milliseconds max_age, std::chrono::nanoseconds return_time);
  void Forward(const RoutedPtr& routed, const NodeId& owner,
               const MemberId& member, std::chrono::nanoseconds return_time);
  void Tell(const RoutedPtr& routed, const Outcome& outcome);
  Job MakeAttempt(const RoutedPtr& routed);
  void OnOutcome(const RoutedPtr& routed, Outcome outcome);
  void ObserveAnswer(const Routed& routed, const Answered& answer);
  void ObserveMember(const Routed& routed, const Outcome& outcome);
  std::optional<NotRun> StateAge(const Routed& routed, Answered& answer) const;
  void OnOwnerSilent(const ForwardedJob& forwarded);
  void RouteLater(const RoutedPtr& routed);
  void RouteAt(std::chrono::steady_clock::time_point at,
               const RoutedPtr& routed);
  void FailForwardsToLostProxies();

  DatabaseId id;
  TrafficHooks hooks;
  TrafficSettings settings;
  RoutingViewPtr view;
  const DatabaseView* database = nullptr;
  std::uint64_t view_number = 0;
  std::uint64_t routed_term = 0;
  std::chrono::steady_clock::time_point now;
  RetryBudget retries;
  MemberChoice choice;
  OwnedMembers owned;
  ForwardTable forwards;
  ForwardInbox inbox;
  RetrySchedule delayed;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_DATABASE_TRAFFIC_H_
