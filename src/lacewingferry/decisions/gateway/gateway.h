#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_H_

// Defines Gateway, all sessions and statements of one proxy.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/gauge.h"
#include "lacewingferry/decisions/gateway/admission.h"
#include "lacewingferry/decisions/gateway/client_session.h"
#include "lacewingferry/decisions/gateway/gateway_hooks.h"
#include "lacewingferry/decisions/gateway/gateway_view.h"
#include "lacewingferry/decisions/gateway/group_traffic.h"
#include "lacewingferry/decisions/gateway/relayed_sessions.h"

namespace lacewingferry {

/**
 * Takes statements of clients' sessions, serves those that only concern the
 * session itself, and has the others run by the group that the session's route
 * names. Belongs to one traffic thread.
 *
 * gateway.cc serves statements; gateway_admission.cc says who serves a session
 * and ends those that others serve now; gateway_time.cc does what is due, ends
 * sessions for a planned stop, and tells where the gateway stands.
 */
class Gateway {
 public:
  Gateway(GatewayHooks gateway_hooks, GatewaySettings gateway_settings);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /** Takes a newer view. */
  void SetView(std::chrono::steady_clock::time_point now, GatewayViewPtr next);
  void SetLease(const DatabaseId& database, std::uint64_t term,
                std::chrono::steady_clock::time_point until);
  void OnPosition(const DatabaseId& database,
                  std::chrono::steady_clock::time_point asked,
                  const LogPosition& position);
  /** Answers through GatewayHooks::recalled. */
  void Recall(std::chrono::steady_clock::time_point now,
              const DatabaseId& database, std::uint64_t before_term,
              std::chrono::milliseconds patience);

  /** Opens a session. While no configuration is known, or nobody who serves
   * the database, the answer waits as long as a proxy usually needs to
   * start. */
  void Open(std::chrono::steady_clock::time_point now,
            const SessionOpening& opening, AdmissionHook done);
  /** Notes where a relayed session stands. */
  void OnRelayState(ClientId client, const RelayState& state) {
    this->relayed.OnState(client, state);
  }
  /** Records that an owner ended a session while a statement waited. */
  void OnRelayLost(const std::string& host, const NodeId& owner);
  /** Records that no owner took a session. */
  void OnRelayFailed(ClientId client, const std::string& host);
  void OnStatement(std::chrono::steady_clock::time_point now, ClientId client,
                   const ClientStatement& statement);
  void OnClientGone(std::chrono::steady_clock::time_point now, ClientId client);

  void OnLinkOpened(std::chrono::steady_clock::time_point now, LinkId link,
                    const std::optional<LogPosition>& position);
  void OnLinkLost(std::chrono::steady_clock::time_point now, LinkId link);
  void OnReply(std::chrono::steady_clock::time_point now, LinkId link,
               const MemberReply& reply);

  void OnTick(std::chrono::steady_clock::time_point now);
  /** When OnTick has to be called next. */
  std::chrono::steady_clock::time_point NextWakeup(
      std::chrono::steady_clock::time_point now) const;

  /** Ends sessions as they come to rest, from now on. */
  void StartDraining(std::chrono::steady_clock::time_point now);
  /** Rolls back the transactions that are still open. */
  void EndTransactions(std::chrono::steady_clock::time_point now);

  std::size_t SessionCount() const {
    return this->sessions.size() + this->relayed.Count() +
           this->openings.size();
  }
  /** What the gateway stands at, for metrics. */
  std::vector<Gauge> Gauges(std::chrono::steady_clock::time_point now) const;

 private:
  using SessionPtr = std::shared_ptr<ClientSession>;
  /** A session that waits for what this proxy doesn't know yet. */
  struct Opening {
    SessionOpening asked;
    AdmissionHook done;
    std::chrono::steady_clock::time_point limit;
  };

  Admission Admit(const SessionOpening& opening);
  void AdmitWaiting();
  bool OwnsGroup(const DatabaseId& database) const;
  const ConnectionAllocation* DealOf(const std::string& host) const;
  /** Ends sessions between two statements; returns how many. */
  std::size_t EndAtRest(const std::function<bool(const ClientSession&)>& ends);
  void EndSessionsOfOthers();
  void RefuseLate(std::chrono::steady_clock::time_point now);

  void Serve(std::chrono::steady_clock::time_point now,
             const SessionPtr& session, const ClientStatement& statement);
  bool ServeInFailed(std::chrono::steady_clock::time_point now,
                     const SessionPtr& session,
                     const ClientStatement& statement);
  bool FitsTransaction(const ClientSession& session,
                       const ClientStatement& statement) const;
  void Rollback(std::chrono::steady_clock::time_point now,
                const SessionPtr& session);
  void Run(std::chrono::steady_clock::time_point now, const SessionPtr& session,
           const ClientStatement& statement);
  RunPtr MakeRun(std::chrono::steady_clock::time_point now,
                 const SessionPtr& session,
                 const ClientStatement& statement) const;
  void OnEnded(std::chrono::steady_clock::time_point now, const RunPtr& run,
               ClientReply reply);
  void OnTransactionLost(ClientId client);
  void FollowTransaction(std::chrono::steady_clock::time_point now,
                         const SessionPtr& session, const RunPtr& run,
                         const ClientReply& reply);
  void Answer(std::chrono::steady_clock::time_point now,
              const SessionPtr& session, const ClientReply& reply);
  void Record(std::chrono::steady_clock::time_point now, const RunPtr& run,
              const ClientReply& reply);
  void EndResting(std::chrono::steady_clock::time_point now,
                  std::chrono::milliseconds longest);
  void EndIdleTransactions(std::chrono::steady_clock::time_point now);
  GroupTraffic& GroupFor(const DatabaseId& database);
  GroupTraffic* OwnerOf(LinkId link);

  GatewayHooks hooks;
  GatewaySettings settings;
  GatewayViewPtr view;
  std::map<DatabaseId, std::unique_ptr<GroupTraffic>> groups;
  std::map<ClientId, SessionPtr> sessions;
  std::vector<Opening> openings;
  RelayedSessions relayed;
  LinkId last_link = 0;
  bool draining = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_H_
