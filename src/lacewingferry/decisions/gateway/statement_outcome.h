#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_OUTCOME_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_OUTCOME_H_

// Defines StatementOutcome, what became of a statement by a member's answer to
// it.

#include <cstdint>

#include "lacewingferry/core/client_statement.h"

namespace lacewingferry {

enum class StatementOutcome : std::uint8_t {
  /** The member didn't run it, so it may be sent again. */
  kNotRun,
  /** The member ran it; it may have taken effect. */
  kRan,
  /** The answer doesn't tell. */
  kUnknown,
};

/** The outcome of a statement that was answered with an error. Only the answer
 * to the statement's own request says what became of it: a member may fail the
 * requests before it and run it all the same. */
StatementOutcome OutcomeOf(StatementError answer);

/** The error to tell a client of a statement that a member answered with one.
 * Errors that promise that nothing is kept are told only where that is so. */
StatementError ErrorToTell(StatementError answer);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_OUTCOME_H_
