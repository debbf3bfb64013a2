#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_FLIGHT_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_FLIGHT_H_

// Defines Flight, the statements that one step of a request sends and where its
// parts stand in the result.

#include <cstddef>
#include <cstdint>
#include <string>

#include "lacewingferry/core/member_statement.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** What a flight does. */
enum class FlightKind : std::uint8_t {
  /** Reads, with the member's state before and after. */
  kRead,
  /** Runs a write without identifier and commits it. */
  kWrite,
  /** Records the identifier and runs the write, without committing it. */
  kClaim,
  /** Records the answer and commits. */
  kStore,
  /** Looks up an identifier that is taken. */
  kFind,
  /** Creates the table of identifiers. */
  kCreateTable,
  /** Takes an identifier so that nothing can run under it. */
  kVoid,
  /** The steps of a caller's transaction. */
  kBegin,
  kStatement,
  kCommit,
  kRollback,
  /** Ends a failed transaction, so that the connection can be used again. */
  kCleanUp,
};

/** A batch and the places of its parts; kNoPlace where a part is missing. */
struct Flight {
  static constexpr std::size_t kNoPlace = static_cast<std::size_t>(-1);

  FlightKind kind = FlightKind::kRead;
  MemberBatch batch;
  /** The caller's own statement. */
  std::size_t statement = kNoPlace;
  /** The row that records the identifier, or the search for it. */
  std::size_t identifier = kNoPlace;
  std::size_t commit = kNoPlace;
  /** The member's state before the statement, and at the end. */
  std::size_t status_before = kNoPlace;
  std::size_t status_after = kNoPlace;
};

/** Builds the flight of a kind for a request. answer is the text to store and
 * is used by kStore only. */
Flight BuildFlight(FlightKind kind, const StatementRequest& request,
                   const std::string& answer = "");

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_FLIGHT_H_
