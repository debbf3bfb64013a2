#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_TABLE_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_TABLE_H_

// TransactionTable tracks the open transactions on the connections to one
// member.

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
  /** From BEGIN to its end. */
  std::chrono::milliseconds total{30000};
};

/** An open transaction. */
struct OpenTransaction {
  ConnectionId connection = 0;
  /** The term of the primary on which it runs. */
  std::uint64_t term = 0;
  /** The request identifier that BEGIN recorded; empty for none. */
  RequestId request_id;
  std::chrono::steady_clock::time_point began;
  std::chrono::steady_clock::time_point last_used;
};

/** Stores the open transactions by identifier, and the identifiers of those
 * that this proxy aborted last, so that their callers learn of the rollback. */
class TransactionTable {
 public:
  explicit TransactionTable(TransactionLimits time_limits)
      : limits(time_limits) {}

  void Add(const TransactionId& id, const OpenTransaction& transaction);

  /** Returns the transaction; nullptr if it isn't open. */
  OpenTransaction* Find(const TransactionId& id);

  /** Returns the transaction that holds a connection; empty for none. */
  TransactionId FindOnConnection(ConnectionId connection) const;

  /** Removes a transaction that its caller ended. */
  void Remove(const TransactionId& id) { this->open.erase(id); }

  /** Removes a transaction that was rolled back without its caller asking, and
   * remembers it as aborted. */
  void Abort(const TransactionId& id);

  /** Returns the outcome of a request for a transaction that isn't open. The
   * outcome of a commit is unknown unless the transaction was aborted, since
   * the commit may be a resend. */
  Outcome OutcomeOfClosed(const StatementRequest& request) const;

  /** Returns the transactions that exceed a time limit. */
  std::vector<TransactionId> Overdue(
      std::chrono::steady_clock::time_point now) const;

  /** Returns the transactions of terms before the given one. */
  std::vector<TransactionId> OfTermsBefore(std::uint64_t term) const;

  /** When the next transaction exceeds its time limit; none if none is open. */
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
