#ifndef LACEWINGFERRY_DECISIONS_SESSION_READ_VALIDATION_H_
#define LACEWINGFERRY_DECISIONS_SESSION_READ_VALIDATION_H_

// Defines ValidateRead, which decides whether the rows of a read may be
// returned to the session, and which log position the session has seen with
// them.

#include <chrono>
#include <cstdint>
#include <optional>

#include "lacewingferry/core/group_member_state.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/outcome.h"

namespace lacewingferry {

/** What the proxy knows about a read when the answer to the batch [status,
 * statement, status] has arrived. */
struct ReadObservation {
  /** The member's own state before and after the statement. */
  GroupMemberState before;
  GroupMemberState after;
  /** Whether the member is the primary of view_term according to the proxy's
   * view. */
  bool primary = false;
  /** The current term in the proxy's view. */
  std::uint64_t view_term = 0;
  /** The number of members of the complete group. */
  std::uint32_t group_size = 3;
  /** Whether the member is one of those of which a majority is needed. */
  bool counts_toward_majority = false;
  /** The newest position that is known to be on a majority of the members. */
  LogPosition majority_position;
  /** The position that the session had seen before; none for a read outside a
   * session. */
  std::optional<LogPosition> session_position;
  /** The upper bound of the age of a replica's data; none if no sample of the
   * primary's position gives one. */
  std::optional<std::chrono::nanoseconds> age;
  /** The maximum age of the data that the read accepts; none if it states
   * none. */
  std::optional<std::chrono::milliseconds> max_age;
  /** Data that includes this position is recent enough for the read; none if no
   * such position is known. */
  std::optional<LogPosition> fresh_position;
};

/** Whether the rows of a read may be returned. */
struct ReadValidation {
  /** Why the rows must not be returned; none if they may be. */
  std::optional<NotRun> refusal;
  /** The position that the session has seen with this read. */
  LogPosition position;
  /** Whether the rows may be returned only once a majority has the position. */
  bool await_confirmation = false;
};

/**
 * Decides whether the rows of a read may be returned to its session.
 *
 * A member whose applied position is at least the session's position has
 * everything that the session saw. Within one term this holds because a term
 * has one primary and therefore one log. In a later term it holds because a
 * session token only names positions that every later primary has:
 *
 * - The primary's rows may include a write that no replica has yet. They are
 *   held back until a majority has everything that they may include.
 * - A log entry of the current term on a replica is also in the synced log of
 *   the primary. In a group of three these two are a majority.
 * - A replica's entry of an earlier term, or any entry in a larger group, may
 *   still be lost. The token then does not go beyond the position that is known
 *   to be on a majority.
 */
ReadValidation ValidateRead(const ReadObservation& observation);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SESSION_READ_VALIDATION_H_
