#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_PLAIN_READ_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_PLAIN_READ_H_

// Defines IsPlainRead, which tells reads outside a transaction from the rest.

#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** Whether a request reads outside a transaction, so that any member may serve
 * it, also twice. */
inline bool IsPlainRead(const StatementRequest& request) {
  return request.kind == RequestKind::kRead && request.transaction.Empty();
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_PLAIN_READ_H_
