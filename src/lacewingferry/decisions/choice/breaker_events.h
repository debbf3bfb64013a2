#ifndef LACEWINGFERRY_DECISIONS_CHOICE_BREAKER_EVENTS_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_BREAKER_EVENTS_H_

// Defines BreakerEvents, a BreakerHook that writes to the log.

#include "lacewingferry/core/ids.h"
#include "lacewingferry/decisions/choice/replica_guards.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** Records replica_passed_over and replica_taken_back of one database. */
BreakerHook BreakerEvents(EventPort events, const DatabaseId& database);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_BREAKER_EVENTS_H_
