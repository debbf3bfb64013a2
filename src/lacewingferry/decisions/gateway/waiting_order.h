#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_WAITING_ORDER_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_WAITING_ORDER_H_

// Defines the order in which statements that wait for a member are served.

#include <cstddef>
#include <vector>

#include "lacewingferry/decisions/gateway/statement_run.h"

namespace lacewingferry {

/**
 * Sorts waiting statements into the order in which they are served: by the
 * route's priority, and within it one statement of each customer in turn, the
 * more urgent customer first, each customer's by deadline. So a customer that
 * sends many statements delays its own, and those of others by one statement
 * at a time. Statements without a customer count as those of one.
 */
void SortFairly(std::vector<RunPtr>* waiting);

/** How many of the waiting statements would be served before another one. */
std::size_t CountServedBefore(const std::vector<RunPtr>& waiting,
                              const RunPtr& run);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_WAITING_ORDER_H_
