#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_DATABASE_TRAFFIC_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_DATABASE_TRAFFIC_H_

// Defines DatabaseTraffic, which handles every request for one database at one
// proxy, from its receipt to its single outcome.

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
 *   Submit          takes a caller's request
 *   Route           chooses a member and a proxy that owns a connection to it
 *   RunHere         this proxy owns a connection: OwnedMembers runs it, or
 *   Forward         another proxy owns one: it runs it and returns the outcome
 *   OnOutcome       until the deadline, may route a request anew that is known
 *                   not to have run; passes all other outcomes to the caller
 *
 * Requests from other proxies enter at OnForward and are never forwarded again.
 */
class DatabaseTraffic {
 public:
  DatabaseTraffic(DatabaseId id, TrafficHooks hooks, TrafficSettings settings);

  /** Applies a newer view of the cluster. */
  void OnView(std::chrono::steady_clock::time_point now,
              const RoutingViewPtr& view);

  /** Routes a caller's request; calls reply exactly once, with its outcome. */
  void Submit(std::chrono::steady_clock::time_point now,
              StatementRequest request, ReplyHook reply);

  /** Runs a request that another proxy forwarded to this one, which owns a
   * connection to the member. */
  void OnForward(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const ForwardRequest& forward);

  /** Handles the owner's reply to a request that this proxy forwarded. */
  void OnForwardReply(std::chrono::steady_clock::time_point now,
                      const NodeId& from, const ForwardReply& reply);

  /** Handle another proxy's request for the primary's log position, and its
   * reply to such a request. */
  void OnProbe(std::chrono::steady_clock::time_point now, const NodeId& from,
               const ProbedDatabase& probed);
  void OnSample(std::chrono::steady_clock::time_point now,
                const SampledPosition& sample);

  /** Sets the end of this proxy's lease, by its own clock. Writes are
   * acknowledged, and reads at the primary answered, only before it. */
  void OnLease(std::chrono::steady_clock::time_point now,
               std::chrono::steady_clock::time_point until);

  /** Permanently stops answers of the primary in this term and all earlier
   * ones. */
  void ReleaseTerm(std::chrono::steady_clock::time_point now,
                   std::uint64_t term);

  /** Runs a statement of the control service on one of this proxy's connections
   * to the member. */
  void RunControlStatement(std::chrono::steady_clock::time_point now,
                           const MemberId& member, ControlCall call);

  /** Applies the table of connection slots that this proxy holds. */
  void OnSeats(std::chrono::steady_clock::time_point now,
               const SeatTablePtr& table);

  /** Adds the number of connections to each member, including those being
   * opened. */
  void AddConnections(std::map<MemberId, std::size_t>& counts) const {
    this->owned.AddConnections(counts);
  }

  /** Connections to one member, including those being opened. */
  std::size_t Connections(const MemberId& member) const;

  /** Handle the events of this database's connections. */
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const MemberBatchResult& result);

  /** Runs the resends, time-outs and retries that are due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Requests that have no outcome yet. */
  std::size_t Unfinished() const;

  /** Transactions that are open on this proxy's connections. */
  std::size_t OpenTransactions() const;

  /** Connections to all members, including those being opened. */
  std::size_t Connections() const;

 private:
  /** A caller's request that has no outcome yet. */
  struct RoutedRequest {
    Job job;
    /** The members that could not serve it, by their indexes in the view. */
    MemberSet tried;
    std::uint64_t view_number = 0;
    /** How often no member was left to try since the last view. */
    std::uint32_t rounds = 0;
    std::size_t place = 0;
    std::chrono::steady_clock::time_point sent_at;
    AttemptHistory history;
    std::optional<NotRun> last_refusal;
  };
  using RoutedRequestPtr = std::shared_ptr<RoutedRequest>;

  void SendStoredOutcome(const NodeId& from, const ForwardRequest& forward);
  void Route(const RoutedRequestPtr& routed);
  void RouteInTransaction(const RoutedRequestPtr& routed);
  void RunHere(const RoutedRequestPtr& routed, const MemberId& member);
  std::optional<LogPosition> FreshPosition(
      std::chrono::milliseconds max_age, std::chrono::nanoseconds return_time);
  void Forward(const RoutedRequestPtr& routed, const NodeId& owner,
               const MemberId& member, std::chrono::nanoseconds return_time);
  void ReplyToCaller(const RoutedRequestPtr& routed, const Outcome& outcome);
  Job MakeAttempt(const RoutedRequestPtr& routed);
  void OnOutcome(const RoutedRequestPtr& routed, Outcome outcome);
  void ObserveAnswer(const RoutedRequest& routed, const Answered& answer);
  void ObserveMember(const RoutedRequest& routed, const Outcome& outcome);
  std::optional<NotRun> SetAgeBound(const RoutedRequest& routed,
                                    Answered& answer) const;
  void OnOwnerUnresponsive(const ForwardedJob& forwarded);
  void RouteLater(const RoutedRequestPtr& routed);
  void RouteAt(std::chrono::steady_clock::time_point at,
               const RoutedRequestPtr& routed);
  void FailForwardsToLostProxies();

  DatabaseId id;
  TrafficHooks hooks;
  TrafficSettings settings;
  RoutingViewPtr view;
  const DatabaseView* database = nullptr;
  std::uint64_t view_number = 0;
  std::uint64_t routed_term = 0;
  std::chrono::steady_clock::time_point event_time;
  RetryBudget retries;
  MemberChoice choice;
  OwnedMembers owned;
  ForwardTable forwards;
  ForwardInbox inbox;
  RetrySchedule delayed;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_DATABASE_TRAFFIC_H_
