#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_PLAIN_READ_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_PLAIN_READ_H_

// Defines IsPlainRead, which recognises reads outside a transaction.

#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** Whether a request is a read outside a transaction. It may be routed to any
 * member and may be run more than once. */
inline bool IsPlainRead(const StatementRequest& request) {
  return request.kind == RequestKind::kRead && request.transaction.Empty();
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_PLAIN_READ_H_
