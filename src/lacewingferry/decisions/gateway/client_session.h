#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_CLIENT_SESSION_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_CLIENT_SESSION_H_

// Defines ClientSession, a client's connection as the gateway sees it.

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "lacewingferry/decisions/gateway/admission.h"
#include "lacewingferry/decisions/gateway/statement_run.h"

namespace lacewingferry {

/** A session: its set-up, its transaction and the statements that wait. It is
 * kept alive by the statements that are under way for it. */
struct ClientSession {
  ClientId id = 0;
  /** The database name that the client stated. */
  std::string host;
  SessionOrigin origin = SessionOrigin::kClient;
  std::shared_ptr<SessionState> state = std::make_shared<SessionState>();
  TransactionState transaction = TransactionState::kIdle;
  /** Whether the open transaction has written. */
  bool transaction_wrote = false;
  /** Whether the open transaction was rolled back while it rested; its next
   * statement is told. */
  bool lost = false;
  /** The group that the open transaction runs in. */
  DatabaseId transaction_database;
  /** What the statements of a transaction run under: the route at its
   * beginning. */
  Route route;
  /** Since when an open transaction rests. */
  std::chrono::steady_clock::time_point rests_since;
  RunPtr running;
  std::deque<ClientStatement> queued;
  /** The newest commit of the session in each group. */
  std::map<DatabaseId, LogPosition> committed;

  /** Whether it may be ended between two statements. A proxy that relays may
   * have passed on a statement that isn't read here yet, so it ends such a
   * session itself, or this proxy does right after an answer. */
  bool MayEndAtRest() const {
    return this->origin == SessionOrigin::kClient &&
           this->RestsIn(TransactionState::kIdle);
  }

  /** Whether nothing runs for it and its transaction is in a state. */
  bool RestsIn(TransactionState state_of_transaction) const {
    return this->running == nullptr &&
           this->transaction == state_of_transaction;
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_CLIENT_SESSION_H_
