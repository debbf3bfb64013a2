#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_LOSS_OUTCOME_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_LOSS_OUTCOME_H_

// Defines what is known of a request whose connection was lost during one of
// its flights.

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/decisions/execution/flight.h"

namespace lacewingferry {

/** NotRun where no commit was sent, so that the member rolls back; else
 * UnknownOutcome. */
Outcome LossOutcome(FlightKind kind);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_LOSS_OUTCOME_H_
