#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_PROMOTION_RECORD_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_PROMOTION_RECORD_H_

// Defines the records of a call for a promotion, and of a primary that control
// didn't choose.

#include <chrono>
#include <cstdint>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/events.h"
#include "lacewingferry/ports/member_admin_port.h"

namespace lacewingferry {

/** A call as its records tell it. */
struct MadeCall {
  /** Counts the calls of one control leader for the group, from 1. */
  std::uint64_t number = 0;
  /** The term of the database that the call was made in. */
  std::uint64_t term = 0;
  PromotionCall call;
  std::chrono::steady_clock::time_point called_at;
};

/** The outcome's name in the log. */
const char* NameOf(PromotionResult result);

/** The record of the intent to call. */
Event MakeCalledRecord(const MadeCall& made);

/** The record of a call whose last byte was handed to the kernel. */
Event MakeWrittenRecord(const MadeCall& made);

/** The record of a call's end. */
Event MakeEndedRecord(const MadeCall& made, const PromotionOutcome& outcome,
                      std::chrono::milliseconds took);

/** The record of a member that leads a term which control didn't confirm. */
Event MakeUnchosenRecord(const DatabaseTerm& entry, const MemberId& member,
                         std::uint64_t member_term);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_PROMOTION_RECORD_H_
