#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_H_

// Defines Gateway, which handles all client sessions and statements of a proxy.

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
#include "lacewingferry/decisions/gateway/customer_limits.h"
#include "lacewingferry/decisions/gateway/gateway_hooks.h"
#include "lacewingferry/decisions/gateway/gateway_view.h"
#include "lacewingferry/decisions/gateway/group_traffic.h"
#include "lacewingferry/decisions/gateway/relayed_sessions.h"

namespace lacewingferry {

/**
 * Receives the statements of client sessions. Answers statements that only
 * concern the session itself and passes the others to the GroupTraffic of the
 * group in the session's route. Used by one traffic thread only.
 *
 * gateway.cc handles statements. gateway_admission.cc decides which proxy
 * serves a session and closes sessions whose group has moved to other proxies.
 * gateway_customers.cc handles customers' keys and rate limits.
 * gateway_time.cc handles timers, closes sessions for a planned stop and
 * reports metrics.
 */
class Gateway {
 public:
  Gateway(GatewayHooks gateway_hooks, GatewaySettings gateway_settings);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /** Installs a newer view. */
  void SetView(std::chrono::steady_clock::time_point now, GatewayViewPtr next);
  void SetLease(const DatabaseId& database, std::uint64_t term,
                std::chrono::steady_clock::time_point until);
  void OnPosition(const DatabaseId& database,
                  std::chrono::steady_clock::time_point requested_at,
                  const LogPosition& position);
  /** Recalls the lease on terms before before_term; see GroupTraffic::Recall.
   * The answer comes through GatewayHooks::recalled. */
  void Recall(std::chrono::steady_clock::time_point now,
              const DatabaseId& database, std::uint64_t before_term,
              std::chrono::milliseconds grace_period);

  /** Passes on control's answer to a request for permits. */
  void OnPermits(std::chrono::steady_clock::time_point now,
                 const PermitGrant& grant) {
    this->limits.OnGrant(now, grant);
  }

  /** Opens a session. While no configuration or no owner of the database is
   * known, the answer is delayed by up to
   * GatewaySettings::session_open_timeout. */
  void Open(std::chrono::steady_clock::time_point now,
            const SessionOpening& opening, AdmissionHook done);
  /** Records the state of a relayed session. */
  void OnRelayState(ClientId client, const RelayState& state) {
    this->relayed.OnState(client, state);
  }
  /** Logs that the owner closed a relayed session while a statement was waiting
   * for its answer. */
  void OnRelayLost(const std::string& host, const NodeId& owner);
  /** Removes a session that no owner accepted and logs it. */
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
  /** The time at which OnTick must be called next. */
  std::chrono::steady_clock::time_point NextWakeup(
      std::chrono::steady_clock::time_point now) const;

  /** From now on, closes each session once it is idle outside a transaction. */
  void StartDraining(std::chrono::steady_clock::time_point now);
  /** Rolls back the open transactions in which no statement is running, and
   * closes the relayed sessions that wait for no answer. */
  void EndTransactions(std::chrono::steady_clock::time_point now);

  std::size_t SessionCount() const {
    return this->sessions.size() + this->relayed.Count() +
           this->pending_openings.size();
  }
  /** The current values of the gateway's metrics. */
  std::vector<Gauge> Gauges(std::chrono::steady_clock::time_point now) const;

 private:
  using SessionPtr = std::shared_ptr<ClientSession>;
  /** A session opening that waits for the first configuration or for a known
   * owner. */
  struct PendingOpening {
    SessionOpening opening;
    AdmissionHook done;
    std::chrono::steady_clock::time_point deadline;
  };

  Admission Admit(std::chrono::steady_clock::time_point now,
                  const SessionOpening& opening);
  void AdmitPendingOpenings(std::chrono::steady_clock::time_point now);
  bool OwnsGroup(const DatabaseId& database) const;
  bool ServesHere(std::chrono::steady_clock::time_point now, const Route& route,
                  const CustomerId& customer) const;
  const ConnectionAllocation* AllocationForHost(const std::string& host) const;
  /** Closes the idle sessions of direct clients for which should_close is true;
   * returns how many. */
  std::size_t CloseIdleSessions(
      const std::function<bool(const ClientSession&)>& should_close);
  void CloseSessionsNotOwned();
  void RefuseExpiredOpenings(std::chrono::steady_clock::time_point now);

  CustomerLimitsHooks LimitsHooks();
  bool HoldsKey(const std::string& host, const std::string& key,
                const CustomerId& customer) const;
  void CheckKeys(std::chrono::steady_clock::time_point now);
  void EndWithdrawnSessions(std::chrono::steady_clock::time_point now);
  void RecordWithdrawnKeys(const std::map<CustomerId, std::size_t>& ended);
  void RecordRefusedKey(std::chrono::steady_clock::time_point now,
                        const std::string& host);

  void Serve(std::chrono::steady_clock::time_point now,
             const SessionPtr& session, const ClientStatement& statement);
  bool ServeInFailedTransaction(std::chrono::steady_clock::time_point now,
                                const SessionPtr& session,
                                const ClientStatement& statement);
  bool IsAllowedInTransaction(const ClientSession& session,
                              const ClientStatement& statement) const;
  void Rollback(std::chrono::steady_clock::time_point now,
                const SessionPtr& session);
  void Run(std::chrono::steady_clock::time_point now, const SessionPtr& session,
           const ClientStatement& statement);
  RunPtr CreateRun(std::chrono::steady_clock::time_point now,
                   const SessionPtr& session,
                   const ClientStatement& statement) const;
  void OnStatementEnded(std::chrono::steady_clock::time_point now,
                        const RunPtr& run, ClientReply reply);
  void OnTransactionLost(ClientId client);
  void UpdateTransactionState(std::chrono::steady_clock::time_point now,
                              const SessionPtr& session, const RunPtr& run,
                              const ClientReply& reply);
  void Answer(std::chrono::steady_clock::time_point now,
              const SessionPtr& session, const ClientReply& reply);
  void RecordEvent(std::chrono::steady_clock::time_point now, const RunPtr& run,
                   const ClientReply& reply);
  void RollBackIdleTransactions(std::chrono::steady_clock::time_point now,
                                std::chrono::milliseconds max_idle);
  void ExpireIdleTransactions(std::chrono::steady_clock::time_point now);
  void ServeFreed(std::chrono::steady_clock::time_point now);
  GroupTraffic& GroupFor(const DatabaseId& database);
  GroupTraffic* GroupOfLink(LinkId link);

  GatewayHooks hooks;
  GatewaySettings settings;
  GatewayViewPtr view;
  std::map<DatabaseId, std::unique_ptr<GroupTraffic>> groups;
  std::map<ClientId, SessionPtr> sessions;
  std::vector<PendingOpening> pending_openings;
  RelayedSessions relayed;
  CustomerLimits limits;
  /** When a configuration last withdrew keys of sessions. */
  std::optional<std::chrono::steady_clock::time_point> keys_withdrawn_at;
  /** Openings that were refused for their key and not reported yet, and when
   * some were reported last. */
  std::size_t refused_keys = 0;
  std::optional<std::chrono::steady_clock::time_point> refused_keys_reported_at;
  LinkId last_link = 0;
  bool draining = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_H_
