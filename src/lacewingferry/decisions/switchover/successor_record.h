#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_RECORD_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_RECORD_H_

// Defines MakeSuccessorRecord, the log entry on one choice of a primary.

#include <chrono>
#include <cstddef>
#include <optional>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/events.h"
#include "lacewingferry/decisions/roster/roster.h"
#include "lacewingferry/decisions/switchover/successor_choice.h"

namespace lacewingferry {

/** A choice of a primary with all that went into it. */
struct SuccessorDecision {
  const DatabaseTerm& entry;
  const Roster& roster;
  const SuccessorChoiceInput& input;
  const std::optional<PausedReplica>& chosen;
  /** How many proxies have reported to this process what they acknowledged. */
  std::size_t reports = 0;
  /** How long this process has known what it decides by: what was reported
   * before is lost with the process that knew it. */
  std::chrono::milliseconds known_for{0};
};

/** Names who was asked, who answered with which run and position, who did not,
 * what was required and where that figure comes from. */
Event MakeSuccessorRecord(const SuccessorDecision& decision);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_RECORD_H_
