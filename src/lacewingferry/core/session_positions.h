#ifndef LACEWINGFERRY_CORE_SESSION_POSITIONS_H_
#define LACEWINGFERRY_CORE_SESSION_POSITIONS_H_

// Defines how a session's token is read and how it advances.

#include <optional>

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/core/session_token.h"

namespace lacewingferry {

/** The position that the session has seen of a database; none if the token
 * doesn't tell. */
std::optional<LogPosition> FindPosition(const SessionToken& token,
                                        const DatabaseId& database);

/** The token after a request's outcome. Positions only rise. The databases
 * that were used longest ago are dropped once the token names 64. */
SessionToken AdvanceToken(SessionToken token, const DatabaseId& database,
                          const Outcome& outcome);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_SESSION_POSITIONS_H_
