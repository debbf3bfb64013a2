#ifndef LACEWINGFERRY_DECISIONS_SESSION_READ_JUDGEMENT_H_
#define LACEWINGFERRY_DECISIONS_SESSION_READ_JUDGEMENT_H_

// Defines JudgeRead, which decides whether the rows of a read may go to the
// session and what the session has seen with them.

#include <chrono>
#include <cstdint>
#include <optional>

#include "lacewingferry/core/group_member_state.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/outcome.h"

namespace lacewingferry {

/** What is known once the batch [status, statement, status] has come back. */
struct ReadEvidence {
  /** The member's own rows before and after the statement. */
  GroupMemberState before;
  GroupMemberState after;
  /** Whether the proxy holds the member to be the primary of view_term. */
  bool primary = false;
  std::uint64_t view_term = 0;
  /** How many members the group has when whole. */
  std::uint32_t group_size = 3;
  /** Whether the member is one of those that a majority is counted of. */
  bool counted = false;
  /** The newest position that the proxy knows to be on a majority. */
  LogPosition confirmed;
  /** What the session had seen; none for a read outside a session. */
  std::optional<LogPosition> session_position;
  /** The time since which a replica's data may lack writes; none if no sample
   * of the primary proves one. */
  std::optional<std::chrono::nanoseconds> age;
  /** How old the data may be; none for a read without a stated age. */
  std::optional<std::chrono::milliseconds> max_age;
  /** Data that includes this position is young enough; none if that is not
   * known. */
  std::optional<LogPosition> fresh_position;
};

/** The fate of a read's rows. */
struct ReadVerdict {
  /** Why the rows may not be used; none if they may. */
  std::optional<NotRun> refusal;
  /** What the session has seen with this read. */
  LogPosition position;
  /** Whether the rows have to wait until a majority holds the position. */
  bool await_confirmation = false;
};

/**
 * Judges a read.
 *
 * A member whose applied position is at least the session's has all that the
 * session saw. In the same term that follows because a term has one primary
 * and so one log. In a later term it follows because a token only ever names
 * positions that every later primary has:
 *
 * - The primary's own rows may show a write that no replica has yet. They wait
 *   until a majority holds all that they can show.
 * - An entry that a replica has of its current term is in its primary's synced
 *   log as well. In a group of three that is a majority.
 * - A replica's entry of an earlier term, and one of a larger group, may still
 *   be lost. The token then stays at the position known to be on a majority.
 */
ReadVerdict JudgeRead(const ReadEvidence& evidence);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SESSION_READ_JUDGEMENT_H_
