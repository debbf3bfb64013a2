#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_NAME_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_NAME_H_

// Defines TransactionName, which tells any proxy where a transaction runs.

#include <cstdint>
#include <optional>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** The proxy and the member that a transaction is pinned to. */
struct TransactionName {
  NodeId owner;
  MemberId member;
  /** Tells the transactions of all runs of the owner apart. */
  std::uint64_t number = 0;
};

/** The identifier that a caller gets, for example proxy-1/permit-db-1-a/17. */
TransactionId FormatTransactionName(const TransactionName& name);

/** Reads an identifier; none for text that no proxy gave out. */
std::optional<TransactionName> ParseTransactionName(const TransactionId& id);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_NAME_H_
