#ifndef LACEWINGFERRY_DECISIONS_LIMITS_ATTEMPT_HISTORY_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_ATTEMPT_HISTORY_H_

// Defines AttemptHistory, which derives the outcome of a request from the
// outcomes of the attempts to run it.

#include <cstdint>

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/core/statement.h"
#include "lacewingferry/decisions/limits/retry_budget.h"

namespace lacewingferry {

/** How a caller handles the outcome of an attempt. */
enum class AttemptVerdict : std::uint8_t {
  /** The attempt's outcome is the request's outcome. */
  kReport,
  /** Send the request again. */
  kRetry,
  /** The transaction of the commit no longer exists. Look up the commit's
   * identifier. */
  kLookUpCommit,
};

/**
 * Keeps the outcome of a request correct over several attempts.
 *
 * An attempt with an unknown outcome may still have run, so a refusal of a
 * later attempt doesn't show that the request didn't run. Sending an identified
 * request again resolves this: the database row of its identifier lets it run
 * at most once, so the answer of any attempt is the request's answer. A
 * rejection resolves it only in a later term, whose primary shows that the
 * earlier attempt is not in the history. In the same term the earlier attempt
 * may still be in transit.
 */
class AttemptHistory {
 public:
  /** Decides how to handle the outcome of an attempt that was routed in a term.
   * time_left tells whether the caller still waits. */
  AttemptVerdict Judge(const StatementRequest& request, std::uint64_t term,
                       const Outcome& outcome, bool time_left,
                       RetryBudget& budget);

  /** The outcome to report for the request if this attempt is its last. */
  Outcome FinalOutcome(const StatementRequest& request, std::uint64_t term,
                       const Outcome& outcome) const;

 private:
  bool maybe_ran = false;
  /** The latest term in which an attempt with an unknown outcome was made. */
  std::uint64_t maybe_ran_term = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_ATTEMPT_HISTORY_H_
