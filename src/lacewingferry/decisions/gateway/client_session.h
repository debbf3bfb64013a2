#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_CLIENT_SESSION_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_CLIENT_SESSION_H_

// Defines ClientSession, the gateway's state for one client connection.

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "lacewingferry/decisions/gateway/admission.h"
#include "lacewingferry/decisions/gateway/statement_run.h"

namespace lacewingferry {

/** A client session: its settings and prepared statements, its transaction and
 * its queued statements. Running statements keep shared ownership of its
 * state. */
struct ClientSession {
  ClientId id = 0;
  /** The database name that the client requested. */
  std::string host;
  SessionOrigin origin = SessionOrigin::kClient;
  /** What the client identified its customer with. */
  std::string key;
  /** The customer; empty if the route needs none. */
  CustomerId customer;
  std::uint32_t customer_priority = 0;
  /** When this proxy learned that the key was withdrawn. */
  std::optional<std::chrono::steady_clock::time_point> key_withdrawn_at;
  std::shared_ptr<SessionState> state = std::make_shared<SessionState>();
  TransactionState transaction = TransactionState::kIdle;
  /** Whether the open transaction has written. */
  bool transaction_wrote = false;
  /** Whether the proxy rolled back the transaction between two statements and
   * the client does not know yet; its next statement is answered with that
   * error. */
  bool rollback_unreported = false;
  /** The group that the open transaction runs in. */
  DatabaseId transaction_database;
  /** The route that was in force when the current transaction or statement
   * began. All statements of a transaction use it. */
  Route route;
  /** When the last statement ended; used to time out idle transactions. */
  std::chrono::steady_clock::time_point idle_since;
  /** The statement that is being executed; nullptr if there is none. */
  RunPtr running;
  /** Statements that arrived while another one was running. */
  std::deque<ClientStatement> queued;
  /** The log position of the session's newest commit in each group. */
  std::map<DatabaseId, LogPosition> committed;

  /** Whether this proxy may close the session between two statements. A
   * relaying proxy may already have forwarded a statement that this proxy has
   * not read yet. Relayed sessions are therefore closed by the relaying proxy,
   * or by this proxy directly after an answer. */
  bool MayCloseIdle() const {
    return this->origin == SessionOrigin::kClient &&
           this->IsIdleIn(TransactionState::kIdle);
  }

  /** Whether no statement is running and the transaction is in the given
   * state. */
  bool IsIdleIn(TransactionState state_of_transaction) const {
    return this->running == nullptr &&
           this->transaction == state_of_transaction;
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_CLIENT_SESSION_H_
