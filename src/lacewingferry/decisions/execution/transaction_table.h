#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_TABLE_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_TABLE_H_

// Defines TransactionTable, the open transactions on one member's connections.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/outcome.h"
#include "lacewingferry/core/statement.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

/** How long a transaction may hold its connection. */
struct TransactionLimits {
  /** Between two of its statements. */
  std::chrono::milliseconds idle{5000};
  /** From its begin to its end. */
  std::chrono::milliseconds total{30000};
};

/** An open transaction. */
struct OpenTransaction {
  ConnectionId connection = 0;
  /** The term of the primary that it runs at. */
  std::uint64_t term = 0;
  /** The identifier that its begin recorded; empty for none. */
  RequestId request_id;
  std::chrono::steady_clock::time_point began;
  std::chrono::steady_clock::time_point last_used;
};

/** Knows each open transaction by its name, and the last ones that were ended
 * by this proxy, so that their callers are told the truth. */
class TransactionTable {
 public:
  explicit TransactionTable(TransactionLimits time_limits)
      : limits(time_limits) {}

  void Add(const TransactionId& id, const OpenTransaction& transaction);

  /** The transaction of a name; nullptr for one that isn't open. */
  OpenTransaction* Find(const TransactionId& id);

  /** The transaction that holds a connection; empty for none. */
  TransactionId IdOn(ConnectionId connection) const;

  /** Removes a transaction that its caller ended. */
  void Remove(const TransactionId& id) { this->open.erase(id); }

  /** Removes a transaction that was rolled back without its caller. */
  void Abort(const TransactionId& id);

  /** What is told to a request for a transaction that isn't open. A commit
   * that may be a resend is unknown unless the transaction was aborted. */
  Outcome OutcomeOfClosed(const StatementRequest& request) const;

  /** The transactions that have used up their time. */
  std::vector<TransactionId> Overdue(
      std::chrono::steady_clock::time_point now) const;

  /** The transactions of terms before the given one. */
  std::vector<TransactionId> OfTermsBefore(std::uint64_t term) const;

  /** When the next transaction is overdue; none if none is open. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  std::size_t Size() const { return this->open.size(); }

 private:
  bool WasAborted(const TransactionId& id) const;
  std::chrono::steady_clock::time_point DeadlineOf(
      const OpenTransaction& transaction) const;

  TransactionLimits limits;
  std::map<TransactionId, OpenTransaction> open;
  std::deque<TransactionId> aborted;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_TABLE_H_
