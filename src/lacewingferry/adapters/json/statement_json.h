#ifndef LACEWINGFERRY_ADAPTERS_JSON_STATEMENT_JSON_H_
#define LACEWINGFERRY_ADAPTERS_JSON_STATEMENT_JSON_H_

// Defines the JSON form of callers' requests and of their outcomes.

#include <chrono>
#include <string>

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** A caller's request with the session token that came with it. */
struct CallerRequest {
  StatementRequest request;
  std::string token;
};

/** The bounds on what a caller may ask. */
struct CallerLimits {
  std::chrono::milliseconds default_timeout{2000};
  std::chrono::milliseconds max_timeout{10000};
};

/** Reads a request. Throws UserError that names every field that is wrong. */
CallerRequest ParseCallerRequest(const std::string& body,
                                 const CallerLimits& limits);

/** Writes an outcome; token is the session's new token and may be empty. */
std::string FormatOutcome(const Outcome& outcome, const std::string& token);

/** The HTTP status that goes with an outcome. */
int HttpStatusOf(const Outcome& outcome);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_JSON_STATEMENT_JSON_H_
