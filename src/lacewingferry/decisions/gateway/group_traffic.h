#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_GROUP_TRAFFIC_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_GROUP_TRAFFIC_H_

// Defines GroupTraffic, a proxy's statements for one group of members.

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

/** What a GroupTraffic reports to the gateway. */
struct GroupTrafficHooks {
  /** A statement has ended; exactly once for each run. */
  std::function<void(std::chrono::steady_clock::time_point, const RunPtr&,
                     ClientReply)>
      ended;
  /** The connection of an open transaction broke between two statements. */
  std::function<void(ClientId)> transaction_lost;
  std::function<LinkId()> next_link;
};

/**
 * Sends statements to members: chooses the member, waits for a free connection
 * in the order of priority and deadline, sets the connection up for the
 * session, tries another member where that is safe, and says truthfully what
 * became of each.
 *
 *   Submit -> Place (candidates, cost) -> wait or Send -> OnReply -> Finish
 *
 * A statement of an open transaction goes to the transaction's connection and
 * never elsewhere.
 *
 * The source stands in three files: group_traffic.cc chooses who serves and who
 * waits, group_traffic_links.cc sends and takes answers, group_traffic_time.cc
 * does what is due.
 */
class GroupTraffic {
 public:
  GroupTraffic(DatabaseId group, const GatewayHooks& gateway_hooks,
               const GatewaySettings& gateway_settings,
               GroupTrafficHooks traffic_hooks);
  GroupTraffic(const GroupTraffic&) = delete;
  GroupTraffic& operator=(const GroupTraffic&) = delete;

  /** Takes the group's members, term and share of connections. */
  void SetView(std::chrono::steady_clock::time_point now,
               const GroupView& next);

  /** The lease on a term lasts until a time. */
  void SetLease(std::uint64_t term,
                std::chrono::steady_clock::time_point until);

  /** Takes a position of the primary that control vouches for. */
  void OnPosition(std::chrono::steady_clock::time_point asked,
                  const LogPosition& position);

  /** Stops acknowledging in terms before the given one: at once if nothing is
   * under way, else when it has ended or patience has. */
  void Recall(std::chrono::steady_clock::time_point now,
              std::uint64_t before_term, std::chrono::milliseconds patience);

  /** Takes a statement. */
  void Submit(std::chrono::steady_clock::time_point now, const RunPtr& run);

  /** Gives up a client's statements and its transaction. */
  void Abandon(std::chrono::steady_clock::time_point now, ClientId client);

  /** Rolls an open transaction back and frees its connection. */
  void EndTransaction(std::chrono::steady_clock::time_point now,
                      ClientId client);

  bool Owns(LinkId link) const { return this->link_members.count(link) > 0; }
  void OnLinkOpened(std::chrono::steady_clock::time_point now, LinkId link,
                    const std::optional<LogPosition>& position);
  void OnLinkLost(std::chrono::steady_clock::time_point now, LinkId link);
  void OnReply(std::chrono::steady_clock::time_point now, LinkId link,
               const MemberReply& reply);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup(
      std::chrono::steady_clock::time_point now) const;

  /** Whether the lease on the present term ran out: this proxy has lost
   * control, while others may serve. */
  bool Isolated(std::chrono::steady_clock::time_point now) const;

  /** Whether the lease on the present term is in force. */
  bool Leased(std::chrono::steady_clock::time_point now) const;

  /** Adds what the group stands at, for metrics. */
  void AddGauges(std::chrono::steady_clock::time_point now,
                 const std::string& name, std::vector<Gauge>* gauges) const;

 private:
  /** What is under way on a connection. */
  struct Flight {
    RunPtr run;
    std::deque<MemberRequest> expected;
    /** Sent once the set-up is done. */
    std::vector<MemberRequest> next;
    std::chrono::steady_clock::time_point sent;
    /** Whether a lease was in force at the sending, and on which term. */
    bool leased = false;
    std::uint64_t term = 0;
  };

  bool Place(std::chrono::steady_clock::time_point now, const RunPtr& run);
  std::vector<MemberPool*> Candidates(std::chrono::steady_clock::time_point now,
                                      const RunPtr& run);
  bool PrepareRead(std::chrono::steady_clock::time_point now,
                   const RunPtr& run);
  std::chrono::microseconds Cost(const MemberPool& pool,
                                 const RunPtr& run) const;
  void OpenLink(std::chrono::steady_clock::time_point now, MemberPool& pool);
  void Send(std::chrono::steady_clock::time_point now, MemberPool& pool,
            LinkId link, const RunPtr& run);
  void SendPinned(std::chrono::steady_clock::time_point now, const RunPtr& run);
  MemberRequest RequestFor(const RunPtr& run) const;
  void SendNext(LinkId link, Flight& flight);
  void UnpinLost(LinkId link, bool under_way);
  void OnAnswerLost(std::chrono::steady_clock::time_point now,
                    const RunPtr& run);
  bool Acknowledge(std::chrono::steady_clock::time_point now,
                   const Flight& flight, const MemberReply& reply);
  void OnRefusalInTransaction(std::chrono::steady_clock::time_point now,
                              MemberPool& pool, LinkId link, const RunPtr& run,
                              const MemberReply& reply);
  void FreeOrDrop(std::chrono::steady_clock::time_point now, LinkId link,
                  bool clean);
  void OnResult(std::chrono::steady_clock::time_point now, LinkId link,
                Flight flight, const MemberReply& reply);
  void OnRefusal(std::chrono::steady_clock::time_point now, MemberPool& pool,
                 LinkId link, const Flight& flight, const MemberReply& reply);
  void OnSuccess(std::chrono::steady_clock::time_point now, MemberPool& pool,
                 LinkId link, const Flight& flight, const MemberReply& reply);
  void Retry(std::chrono::steady_clock::time_point now, const RunPtr& run,
             StatementError error, const std::string& text);
  void Finish(std::chrono::steady_clock::time_point now, const RunPtr& run,
              ClientReply reply);
  void Fail(std::chrono::steady_clock::time_point now, const RunPtr& run,
            StatementError error, std::string text);
  void Free(LinkId link);
  void Drop(std::chrono::steady_clock::time_point now, LinkId link);
  void Pump(std::chrono::steady_clock::time_point now);
  std::chrono::steady_clock::time_point WaitLimit(
      std::chrono::steady_clock::time_point now, const RunPtr& run) const;
  std::chrono::microseconds ExpectedWait(const RunPtr& run,
                                         std::size_t ahead) const;
  bool InTransition(std::chrono::steady_clock::time_point now,
                    const RunPtr& run) const;
  void ExpireWaiting(std::chrono::steady_clock::time_point now);
  void ExpireFlights(std::chrono::steady_clock::time_point now);
  void AskElsewhere(std::chrono::steady_clock::time_point now,
                    const RunPtr& run);
  void GiveUp(std::chrono::steady_clock::time_point now, LinkId link);
  void CheckOpening(std::chrono::steady_clock::time_point now);
  void CheckRecall(std::chrono::steady_clock::time_point now);
  bool AcknowledgmentUnderWay() const;
  MemberPool* PoolOf(LinkId link);
  void KeepOneOpen(std::chrono::steady_clock::time_point now, MemberPool& pool);
  void CloseSurplus(std::chrono::steady_clock::time_point now);
  void WarmNeeded(std::chrono::steady_clock::time_point now);
  void WarmOneMore(std::chrono::steady_clock::time_point now);
  std::chrono::milliseconds FirstEstimate(const MemberInfo& member) const;
  int DistanceOf(const MemberInfo& member) const;

  DatabaseId database;
  const GatewayHooks& hooks;
  const GatewaySettings& settings;
  GroupTrafficHooks own_hooks;
  GroupView view;
  std::map<MemberId, std::unique_ptr<MemberPool>> pools;
  std::map<LinkId, MemberId> link_members;
  std::map<LinkId, Flight> flights;
  std::map<ClientId, LinkId> pinned;
  /** In the order in which they are to be served. */
  std::vector<RunPtr> waiting;
  PositionHistory history;
  TermLease lease;
  LogPosition acknowledged;
  bool pumping = false;
  std::optional<std::chrono::steady_clock::time_point> first_view;
  std::chrono::steady_clock::time_point next_warming;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_GROUP_TRAFFIC_H_
