#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_RELAYED_SESSIONS_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_RELAYED_SESSIONS_H_

// Defines RelayedSessions, the sessions of this proxy's clients that other
// proxies serve.

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/decisions/gateway/admission.h"

namespace lacewingferry {

/** The state of a relayed session, as of the last statement or answer. */
struct RelayState {
  /** Whether a statement has not been answered yet. */
  bool awaiting_answer = false;
  TransactionState transaction = TransactionState::kIdle;
  /** The proxy that serves it; empty until one has accepted it. */
  NodeId owner{};
};

/** Chooses the owners to try for a session, and closes relayed sessions once
 * they are idle when this proxy stops or their owner has changed. */
class RelayedSessions {
 public:
  /** Closes a client's session. */
  using CloseClient = std::function<void(ClientId)>;

  explicit RelayedSessions(CloseClient close_client)
      : close(std::move(close_client)) {}

  /** Adds a session. Without a customer the list of owners is rotated for each
   * session, which spreads sessions evenly over the owners; with one it is in
   * the order in which to try them. */
  Admission Add(const SessionOpening& opening, const CustomerId& customer,
                const std::vector<NodeId>& owners);
  void Remove(ClientId client) { this->sessions.erase(client); }

  /** Records the state of a session after a statement or its answer. */
  void OnState(ClientId client, const RelayState& state);

  /** Closes idle sessions whose owner no longer owns their database. Sessions
   * of a database with no known owner stay open. */
  void CloseWithFormerOwners(
      const std::function<const std::vector<NodeId>*(const std::string& host)>&
          owners_of);

  /** Whether a session that was opened with a key for a customer may go on. */
  using HoldsKey = std::function<bool(
      const std::string& host, const std::string& key, const CustomerId&)>;
  /** Marks the sessions whose key was withdrawn; returns how many are marked.
   */
  std::size_t MarkWithdrawn(const HoldsKey& holds_key);
  /** Closes marked sessions that wait for no answer: idle ones, and if
   * `also_open` those in a transaction, which rolls it back. */
  void CloseWithdrawn(bool also_open);

  /** From now on, closes each session that is idle outside a transaction. A
   * session whose client has sent nothing yet stays open, because its first
   * statement may be on its way. */
  void StartDraining();
  /** From now on, closes each session that waits for no answer, also inside a
   * transaction. Closing it rolls back its transaction. */
  void EndTransactions();

  std::size_t Count() const { return this->sessions.size(); }

 private:
  struct Session {
    std::string host;
    std::string key;
    CustomerId customer;
    RelayState state;
    /** Whether the client has sent a statement. */
    bool has_sent = false;
    bool key_withdrawn = false;
  };

  bool ShouldClose(const Session& session) const;
  void CloseWhere(const std::function<bool(const Session&)>& should_close);

  CloseClient close;
  std::map<ClientId, Session> sessions;
  std::size_t next_owner = 0;
  bool draining = false;
  bool ending_transactions = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_RELAYED_SESSIONS_H_
