#include "lacewingferry/decisions/execution/transaction_table.h"

#include <algorithm>
#include <string>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** How many aborted transactions are remembered per member. */
constexpr std::size_t kMaxRememberedAborts = 256;

}  // namespace

void TransactionTable::Add(const TransactionId& id,
                           const OpenTransaction& transaction) {
  this->open[id] = transaction;
}

OpenTransaction* TransactionTable::Find(const TransactionId& id) {
  const auto found = this->open.find(id);
  return found == this->open.end() ? nullptr : &found->second;
}

TransactionId TransactionTable::FindOnConnection(
    ConnectionId connection) const {
  for (const auto& [id, transaction] : this->open) {
    if (transaction.connection == connection) return id;
  }
  return {};
}

void TransactionTable::Abort(const TransactionId& id) {
  if (this->open.erase(id) == 0) return;
  this->aborted.push_back(id);
  if (this->aborted.size() > kMaxRememberedAborts) this->aborted.pop_front();
}

bool TransactionTable::WasAborted(const TransactionId& id) const {
  return std::find(this->aborted.begin(), this->aborted.end(), id) !=
         this->aborted.end();
}

Outcome TransactionTable::OutcomeOfClosed(
    const StatementRequest& request) const {
  const std::string& name = request.transaction.Value();
  if (this->WasAborted(request.transaction)) {
    return NotRun{RefusalCode::kTransactionAborted,
                  "transaction " + name + " was rolled back"};
  }
  if (request.kind == RequestKind::kCommit) {
    return UnknownOutcome{"transaction " + name +
                          " is not open; it may have been committed before"};
  }
  return NotRun{RefusalCode::kUnknownTransaction,
                "transaction " + name + " is not open"};
}

steady_clock::time_point TransactionTable::DeadlineOf(
    const OpenTransaction& transaction) const {
  return std::min(transaction.began + this->limits.total,
                  transaction.last_used + this->limits.idle);
}

std::vector<TransactionId> TransactionTable::Overdue(
    steady_clock::time_point now) const {
  std::vector<TransactionId> overdue;
  for (const auto& [id, transaction] : this->open) {
    if (this->DeadlineOf(transaction) <= now) overdue.push_back(id);
  }
  return overdue;
}

std::vector<TransactionId> TransactionTable::OfTermsBefore(
    std::uint64_t term) const {
  std::vector<TransactionId> earlier;
  for (const auto& [id, transaction] : this->open) {
    if (transaction.term < term) earlier.push_back(id);
  }
  return earlier;
}

std::optional<steady_clock::time_point> TransactionTable::NextDeadline() const {
  std::optional<steady_clock::time_point> next;
  for (const auto& [id, transaction] : this->open) {
    const auto deadline = this->DeadlineOf(transaction);
    if (!next || deadline < *next) next = deadline;
  }
  return next;
}

}  // namespace lacewingferry
