#ifndef LACEWINGFERRY_DECISIONS_LIMITS_ATTEMPT_HISTORY_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_ATTEMPT_HISTORY_H_

// Defines AttemptHistory, what the attempts to run a request have shown so
// far, and so what may be told of it.

#include <cstdint>

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/core/statement.h"
#include "lacewingferry/decisions/limits/retry_budget.h"

namespace lacewingferry {

/** What is done with the outcome of an attempt. */
enum class AttemptVerdict : std::uint8_t {
  /** It is the request's outcome. */
  kTell,
  /** The request is sent again. */
  kRetry,
  /** The commit's transaction is gone; its identifier is looked up instead. */
  kSettle,
};

/**
 * Keeps the outcome of a request true over several attempts.
 *
 * An attempt whose fate is unknown may still have run, so a later refusal of
 * another attempt says nothing about the request as a whole. It is settled by
 * sending an identified request again: the row of its identifier lets it run
 * at most once, so the answer of any attempt is the request's answer. A
 * rejection settles it only in a later term, whose primary shows that the
 * earlier attempt is not in the history; in the same term the earlier attempt
 * may still be on its way.
 */
class AttemptHistory {
 public:
  /** Judges the outcome of an attempt that was routed by a term. time_left
   * tells whether the caller still waits. */
  AttemptVerdict Judge(const StatementRequest& request, std::uint64_t term,
                       const Outcome& outcome, bool time_left,
                       RetryBudget& budget);

  /** What may be told of the request if an attempt's outcome is its last. */
  Outcome Truth(const StatementRequest& request, std::uint64_t term,
                const Outcome& outcome) const;

 private:
  bool maybe_ran = false;
  /** The latest term in which an attempt with unknown fate was made. */
  std::uint64_t maybe_term = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_ATTEMPT_HISTORY_H_
