#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_RECORD_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_RECORD_H_

// Defines the log entries on the choice of a primary: MakeSuccessorRecord on
// one decision, MakeCoverRecord on ended runs that no longer bear on it.

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/events.h"
#include "lacewingferry/decisions/switchover/successor_choice.h"

namespace lacewingferry {

/** A choice of a primary with all that went into it. */
struct SuccessorDecision {
  const DatabaseTerm& entry;
  const SuccessorChoiceInput& input;
  const std::optional<SuccessorAnswer>& chosen;
  /** How many reports of proxies this process has taken. */
  std::size_t reports = 0;
  /** How long this process has been choosing in this term. */
  std::chrono::milliseconds known_for{0};
};

/** What a decision depends on and what came of it, in one line; two decisions
 * with the same line needn't both be told. */
std::string DescribeDecision(const SuccessorChoiceInput& input,
                             const std::optional<SuccessorAnswer>& chosen);

/** Names who answered in which run and with which position, who did not, what
 * proofs there are and where they come from. */
Event MakeSuccessorRecord(const SuccessorDecision& decision);

/** Names the ended runs and the position that covers them. */
Event MakeCoverRecord(const CoverEndedRuns& cover);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_RECORD_H_
