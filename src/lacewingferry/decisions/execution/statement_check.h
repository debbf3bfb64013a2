#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_STATEMENT_CHECK_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_STATEMENT_CHECK_H_

// Detects statements that a caller may not send, because they would change a
// transaction or a connection that the caller doesn't own.

#include <string>

namespace lacewingferry {

/** Whether the statement begins or ends a transaction, or changes the state of
 * its connection beyond the transaction. Such a statement is never run: a
 * COMMIT inside a request would end the transaction that records the request,
 * and a SET would affect later requests on the same connection. */
bool ChangesConnection(const std::string& sql);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_STATEMENT_CHECK_H_
