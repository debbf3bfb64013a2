#ifndef LACEWINGFERRY_CORE_MEMBER_REQUEST_H_
#define LACEWINGFERRY_CORE_MEMBER_REQUEST_H_

// Defines MemberRequest and MemberReply, the typed commands on a connection to
// a member.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** Names a connection to a member within one process; never used again. */
using LinkId = std::uint64_t;

/** Names a prepared statement on one connection to a member; never used again
 * on it. It is a number, so that no text of a client is part of a name. */
using PreparedNumber = std::uint64_t;

/** Which member a connection leads to. */
struct LinkTarget {
  DatabaseId database;
  MemberId member;
  Endpoint endpoint;
  /** The customer in whose name the connection is opened; empty for the
   * system's own. */
  CustomerId customer{};
};

/** What a member is asked to do on a connection. */
enum class MemberRequestKind : std::uint8_t {
  /** Runs the text of a client, unchanged. */
  kStatement,
  kSetValue,
  kPrepare,
  /** Runs a prepared statement by its number on this connection. */
  kExecute,
  kRollback,
  /** Forgets all values and prepared statements of the connection. */
  kReset,
  /** Reports role, term and positions. */
  kStatus,
  /** Stops receiving from a primary of a lower term. */
  kPause,
  kResume,
  /** A primary of a lower term becomes a replica. */
  kStepDown,
};

/** One request on a connection; requests are answered in their order. */
struct MemberRequest {
  MemberRequestKind kind = MemberRequestKind::kStatement;
  /** The client's identifier; empty for the system's own requests. */
  RequestId id{};
  /** For kStatement. */
  std::string text{};
  /** For kSetValue. */
  std::string name{};
  /** For kSetValue the value, for kPrepare the shape, for kExecute the
   * arguments. */
  std::string argument{};
  /** For kPrepare and kExecute. */
  PreparedNumber prepared = 0;
  bool prepares_write = false;
  /** The member refuses unless its log has this position. */
  std::optional<LogPosition> least_position{};
  /** For kPause and kStepDown. */
  std::uint64_t term = 0;
};

/** The answer to a request. */
struct MemberReply {
  std::vector<std::string> rows;
  std::optional<StatementError> error;
  std::string error_text;
  std::string digest;
  TransactionState state = TransactionState::kIdle;
  /** The end of the member's log as far as it is applied. */
  std::optional<LogPosition> position;
};

/** What a member says of itself. */
struct MemberStatus {
  bool primary = false;
  std::uint64_t term = 0;
  /** The newest position that the member's log has received. */
  LogPosition received;
  /** The term at which the member was paused; 0 if it isn't. */
  std::uint64_t paused_term = 0;
  std::chrono::milliseconds lag{0};
  std::uint32_t busy_slots = 0;
  std::uint32_t connections = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MEMBER_REQUEST_H_
