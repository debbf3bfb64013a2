#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_RELAYED_SESSIONS_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_RELAYED_SESSIONS_H_

// Defines RelayedSessions, the sessions of a proxy's clients that other proxies
// serve.

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/decisions/gateway/admission.h"

namespace lacewingferry {

/** Where a relayed session stands, as its last answer said. */
struct RelayState {
  /** Whether a statement waits for its answer. */
  bool waits = false;
  TransactionState transaction = TransactionState::kIdle;
  /** The proxy that serves it; empty until one took it. */
  NodeId owner{};
};

/** Chooses who serves a session, and ends relayed sessions of a proxy that
 * stops as they come to rest. */
class RelayedSessions {
 public:
  /** Ends a client's session at rest. */
  using CloseClient = std::function<void(ClientId)>;

  explicit RelayedSessions(CloseClient close_client)
      : close(std::move(close_client)) {}

  /** Takes a session; the owners come in another order for each, so that each
   * gets its part. */
  Admission Add(const SessionOpening& opening,
                const std::vector<NodeId>& owners);
  void Remove(ClientId client) { this->sessions.erase(client); }

  /** Notes where a session stands after a statement or its answer. */
  void OnState(ClientId client, const RelayState& state);

  /** Ends sessions at rest whose owner doesn't own their database any more.
   * Where no owner is known, they stay. */
  void KeepOwners(
      const std::function<const std::vector<NodeId>*(const std::string& host)>&
          owners_of);

  /** Ends sessions without a transaction as they come to rest after a
   * statement; one that was just opened has its first still to come. */
  void StartDraining();
  /** Ends sessions as they come to rest, whatever they have open: their
   * transactions are rolled back with them. */
  void EndTransactions();

  std::size_t Count() const { return this->sessions.size(); }

 private:
  struct Session {
    std::string host;
    RelayState state;
    /** Whether the client has sent anything since its session was opened. */
    bool used = false;
  };

  bool Ends(const Session& session) const;
  void EndWhere(const std::function<bool(const Session&)>& ends);

  CloseClient close;
  std::map<ClientId, Session> sessions;
  std::size_t next_owner = 0;
  bool draining = false;
  bool ending_transactions = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_RELAYED_SESSIONS_H_
