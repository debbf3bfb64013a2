#ifndef LACEWINGFERRY_DECISIONS_CHOICE_BREAKER_EVENTS_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_BREAKER_EVENTS_H_

// Defines MakeBreakerEventHook, which makes a BreakerHook that records events.

#include "lacewingferry/core/ids.h"
#include "lacewingferry/decisions/choice/replica_guards.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** A hook that records replica_passed_over and replica_taken_back for a
 * database. */
BreakerHook MakeBreakerEventHook(EventPort events, const DatabaseId& database);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_BREAKER_EVENTS_H_
