#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_GROUP_TRAFFIC_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_GROUP_TRAFFIC_H_

// Defines GroupTraffic, which runs a proxy's statements on one group of
// members.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lacewingferry/core/gauge.h"
#include "lacewingferry/decisions/gateway/gateway_hooks.h"
#include "lacewingferry/decisions/gateway/gateway_view.h"
#include "lacewingferry/decisions/gateway/member_pool.h"
#include "lacewingferry/decisions/gateway/position_history.h"
#include "lacewingferry/decisions/gateway/statement_run.h"
#include "lacewingferry/decisions/gateway/term_lease.h"

namespace lacewingferry {

/** Callbacks from a GroupTraffic to the gateway. */
struct GroupTrafficHooks {
  /** A statement has ended. Called exactly once for each submitted run, except
   * for those of CancelClient. */
  std::function<void(std::chrono::steady_clock::time_point, const RunPtr&,
                     ClientReply)>
      ended;
  /** The connection of an open transaction was lost between two statements. */
  std::function<void(ClientId)> transaction_lost;
  /** Allocates a connection identifier. */
  std::function<LinkId()> next_link;
};

/**
 * Sends statements to members. Chooses the member, queues statements by
 * priority and deadline until a connection is free, applies the session's
 * settings to the connection, and retries on another member where that is safe.
 * Reports the outcome as unknown if a commit may or may not have taken effect.
 *
 * Submit -> TryDispatch (candidates, cost) -> queue or Send -> OnReply ->
 * Finish
 *
 * A statement of an open transaction is only sent on the transaction's
 * connection.
 *
 * group_traffic.cc chooses members and queues statements,
 * group_traffic_links.cc opens, releases and closes connections and sends
 * requests, group_traffic_replies.cc handles replies, group_traffic_time.cc
 * handles timers.
 */
class GroupTraffic {
 public:
  GroupTraffic(DatabaseId group, const GatewayHooks& gateway_hooks,
               const GatewaySettings& gateway_settings,
               GroupTrafficHooks group_hooks);
  GroupTraffic(const GroupTraffic&) = delete;
  GroupTraffic& operator=(const GroupTraffic&) = delete;

  /** Updates the group's members, its term and the connections that this proxy
   * may hold. */
  void SetView(std::chrono::steady_clock::time_point now,
               const GroupView& next);

  /** Sets the lease on a term and its expiry time. */
  void SetLease(std::uint64_t term,
                std::chrono::steady_clock::time_point until);

  /** Records a log position of the primary that control has confirmed;
   * `requested_at` is the time at which it was requested. */
  void OnPosition(std::chrono::steady_clock::time_point requested_at,
                  const LogPosition& position);

  /** Stops acknowledging commits in terms before before_term: at once if no
   * commit is in flight, otherwise when all have ended or the grace period is
   * over. */
  void Recall(std::chrono::steady_clock::time_point now,
              std::uint64_t before_term,
              std::chrono::milliseconds grace_period);

  /** Sends a statement to a member, queues it, or refuses it. */
  void Submit(std::chrono::steady_clock::time_point now, const RunPtr& run);

  /** Cancels a client's statements without an answer and ends its
   * transaction. */
  void CancelClient(std::chrono::steady_clock::time_point now, ClientId client);

  /** Rolls back an open transaction and releases its connection; closes the
   * connection if a request is in flight on it. */
  void EndTransaction(std::chrono::steady_clock::time_point now,
                      ClientId client);

  bool HasLink(LinkId link) const {
    return this->member_of_link.count(link) > 0;
  }
  void OnLinkOpened(std::chrono::steady_clock::time_point now, LinkId link,
                    const std::optional<LogPosition>& position);
  void OnLinkLost(std::chrono::steady_clock::time_point now, LinkId link);
  void OnReply(std::chrono::steady_clock::time_point now, LinkId link,
               const MemberReply& reply);

  /** Sends waiting statements, if a connection was freed for them. Closing a
   * connection sends none, since that may close others: this is a step of its
   * own, for the end of an input. */
  void ServeFreed(std::chrono::steady_clock::time_point now);

  /** Handles timeouts, connection management and waiting statements. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** The time at which OnTick must be called next; none if no timer is set. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup(
      std::chrono::steady_clock::time_point now) const;

  /** Whether the lease on the current term expired without renewal. This
   * proxy has then lost contact with control, while other proxies may still
   * serve. */
  bool LeaseExpired(std::chrono::steady_clock::time_point now) const;

  /** Whether the lease on the current term is in force. */
  bool HasLease(std::chrono::steady_clock::time_point now) const;

  /** Appends the group's metrics, labelled with the group's name. */
  void AddGauges(std::chrono::steady_clock::time_point now,
                 const std::string& name, std::vector<Gauge>* gauges) const;

 private:
  /** The requests in flight on a connection. */
  struct Flight {
    /** The statement; nullptr for a roll-back that the proxy sent itself. */
    RunPtr run;
    /** Requests that were sent and not yet answered. */
    std::deque<MemberRequest> expected;
    /** The number of the prepared statement to execute; 0 for none. */
    PreparedNumber prepared = 0;
    /** Why the member didn't prepare the statement to execute. */
    std::optional<MemberReply> unprepared;
    /** Requests to send once the session's settings are confirmed; the
     * statement is the last of them until it is sent. */
    std::vector<MemberRequest> next;
    std::chrono::steady_clock::time_point sent;
    /** Whether a lease was in force when the statement was sent, and its
     * term. */
    bool leased = false;
    std::uint64_t term = 0;
  };

  bool TryDispatch(std::chrono::steady_clock::time_point now,
                   const RunPtr& run);
  std::vector<MemberPool*> Candidates(std::chrono::steady_clock::time_point now,
                                      const RunPtr& run);
  bool PrepareRead(std::chrono::steady_clock::time_point now,
                   const RunPtr& run);
  std::chrono::microseconds Cost(const MemberPool& pool,
                                 const RunPtr& run) const;
  LinkId OpenLink(std::chrono::steady_clock::time_point now, MemberPool& pool,
                  const CustomerId& customer);
  bool AwaitsLink(std::chrono::steady_clock::time_point now,
                  const RunPtr& run) const;
  bool TryOpenFor(std::chrono::steady_clock::time_point now, MemberPool& pool,
                  const RunPtr& run);
  void DropIdleLink(LinkId link);
  void Send(std::chrono::steady_clock::time_point now, MemberPool& pool,
            LinkId link, const RunPtr& run);
  void SendPinned(std::chrono::steady_clock::time_point now, const RunPtr& run);
  MemberRequest RequestFor(const RunPtr& run, PreparedNumber prepared) const;
  void SendNext(LinkId link, Flight& flight);
  void UnpinLost(LinkId link, bool in_flight);
  void OnLastLinkLost(std::chrono::steady_clock::time_point now,
                      const RunPtr& run, bool sent);
  void OnSetupFailed(std::chrono::steady_clock::time_point now, LinkId link,
                     const RunPtr& run, const MemberReply& reply);
  bool TryAcknowledge(std::chrono::steady_clock::time_point now,
                      const Flight& flight, const MemberReply& reply);
  void OnRefusalInTransaction(std::chrono::steady_clock::time_point now,
                              MemberPool& pool, LinkId link, const RunPtr& run,
                              const MemberReply& reply);
  void ReleaseOrCloseLink(std::chrono::steady_clock::time_point now,
                          LinkId link, bool clean);
  void RecordPrepared(LinkId link, const MemberRequest& request) const;
  void HandleReply(std::chrono::steady_clock::time_point now, LinkId link,
                   const MemberReply& reply);
  void OnResult(std::chrono::steady_clock::time_point now, LinkId link,
                Flight flight, const MemberReply& reply);
  void OnRefusal(std::chrono::steady_clock::time_point now, MemberPool& pool,
                 LinkId link, const Flight& flight, const MemberReply& answer);
  void OnSuccess(std::chrono::steady_clock::time_point now, MemberPool& pool,
                 LinkId link, const Flight& flight, const MemberReply& reply);
  static MemberReply ReasonOf(const Flight& flight, const MemberReply& reply);
  void RecordRepeated(const Flight& flight, LinkId link,
                      const MemberReply& answer) const;
  void Retry(std::chrono::steady_clock::time_point now, const RunPtr& run,
             StatementError error, const std::string& text);
  void Finish(std::chrono::steady_clock::time_point now, const RunPtr& run,
              ClientReply reply);
  void Fail(std::chrono::steady_clock::time_point now, const RunPtr& run,
            StatementError error, std::string text);
  void ReleaseLink(LinkId link);
  void CloseLink(std::chrono::steady_clock::time_point now, LinkId link);
  void LoseLink(std::chrono::steady_clock::time_point now, LinkId link);
  void ServeWaiting(std::chrono::steady_clock::time_point now);
  std::chrono::steady_clock::time_point WaitDeadline(
      std::chrono::steady_clock::time_point now, const RunPtr& run) const;
  std::chrono::microseconds ExpectedWait(const RunPtr& run,
                                         std::size_t ahead) const;
  bool WaitsForTransition(std::chrono::steady_clock::time_point now,
                          const RunPtr& run) const;
  void ExpireWaiting(std::chrono::steady_clock::time_point now);
  void ExpireFlights(std::chrono::steady_clock::time_point now);
  void SendHedge(std::chrono::steady_clock::time_point now, const RunPtr& run);
  void FailTimedOut(std::chrono::steady_clock::time_point now, LinkId link);
  void CheckConnections(std::chrono::steady_clock::time_point now);
  void RecordIfUnconfirmed(const Flight& flight, const LogPosition& position);
  void CheckRecallDone(std::chrono::steady_clock::time_point now);
  bool CommitInFlight() const;
  MemberPool* PoolOf(LinkId link);
  void EnsureLink(std::chrono::steady_clock::time_point now, MemberPool& pool);
  void CloseExcessLinks(std::chrono::steady_clock::time_point now);
  void WarmUpRequired(std::chrono::steady_clock::time_point now);
  void WarmUpNext(std::chrono::steady_clock::time_point now);
  std::chrono::milliseconds InitialEstimate(const MemberInfo& member) const;
  int DistanceOf(const MemberInfo& member) const;

  DatabaseId database;
  const GatewayHooks& hooks;
  const GatewaySettings& settings;
  GroupTrafficHooks traffic_hooks;
  GroupView view;
  std::map<MemberId, std::unique_ptr<MemberPool>> pools;
  std::map<LinkId, MemberId> member_of_link;
  std::map<LinkId, Flight> flights;
  /** The connections of open transactions. */
  std::map<ClientId, LinkId> pinned;
  /** Waiting statements, in the order of SortFairly. */
  std::vector<RunPtr> waiting;
  PositionHistory history;
  TermLease lease;
  /** The highest position of an acknowledged commit. */
  LogPosition acknowledged;
  /** Whether a commit was acknowledged whose answer named no position. */
  bool acknowledged_unplaced = false;
  /** The newest term that a write was recorded in which control hadn't
   * confirmed. */
  std::uint64_t recorded_unconfirmed_term = 0;
  /** Whether a connection was closed or became idle since statements were last
   * served. */
  bool link_freed = false;
  /** Whether ServeWaiting is running; guards against re-entry. */
  bool serving_waiting = false;
  std::optional<std::chrono::steady_clock::time_point> first_view;
  std::chrono::steady_clock::time_point next_warmup;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_GROUP_TRAFFIC_H_
