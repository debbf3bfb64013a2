#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_NAME_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_NAME_H_

// TransactionName is the decoded transaction identifier, from which any proxy
// finds the proxy and member that run the transaction.

#include <cstdint>
#include <optional>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** The proxy and the member that a transaction is pinned to. */
struct TransactionName {
  NodeId owner;
  MemberId member;
  /** Unique among the owner's transactions, also across its restarts. */
  std::uint64_t number = 0;
};

/** Formats the identifier for the caller, such as proxy-1/permit-db-1-a/17. */
TransactionId FormatTransactionName(const TransactionName& name);

/** Parses an identifier; none for malformed text. */
std::optional<TransactionName> ParseTransactionName(const TransactionId& id);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_TRANSACTION_NAME_H_
