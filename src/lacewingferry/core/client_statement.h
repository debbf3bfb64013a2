#ifndef LACEWINGFERRY_CORE_CLIENT_STATEMENT_H_
#define LACEWINGFERRY_CORE_CLIENT_STATEMENT_H_

// Defines ClientStatement and ClientReply, what passes between a client's
// session and the gateway, free of any encoding.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** Names a client's connection within one process; never used again. */
using ClientId = std::uint64_t;

/** What a statement asks for. */
enum class StatementKind : std::uint8_t {
  kBegin,
  /** A transaction that only reads. */
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepare,
  kExecute,
  kDeallocate,
  /** Not a statement that the dialect knows. */
  kMalformed,
  /** Longer than members take. */
  kTooLong,
};

/** One statement of a session. */
struct ClientStatement {
  RequestId id;
  StatementKind kind = StatementKind::kMalformed;
  /** The statement as the client wrote it. */
  std::string text;
  /** The value's or the prepared statement's name. */
  std::string name;
  /** For kSetValue the value, for kPrepare the statement's shape, for kExecute
   * the arguments. */
  std::string argument;
  /** For kPrepare: whether the prepared statement writes. */
  bool prepares_write = false;
};

/** Whether a session is inside a transaction. */
enum class TransactionState : std::uint8_t {
  kIdle,
  kOpen,
  /** The transaction failed; only its end is accepted. */
  kFailed,
};

/** Why a statement got no result. */
enum class StatementError : std::uint8_t {
  /** Nothing was run: no member was free in time. */
  kBusy,
  /** Nothing is kept: the transaction was rolled back. */
  kAborted,
  /** Nothing was run: no reachable member has the data that is asked for. */
  kLagging,
  /** Nothing is kept: the member is no primary. */
  kReadOnly,
  kMisrouted,
  kTooManyConnections,
  /** The member ran the statement, and it failed. */
  kFailed,
  kUnknownPrepared,
  /** No answer came in time; it may have run. */
  kTimeout,
  /** It may have run. */
  kUnknown,
  kUnauthorized,
  kNoDatabase,
  kTooLarge,
  kMalformed,
};

/** The whole answer to a statement. */
struct ClientReply {
  std::vector<std::string> rows;
  /** Set unless the statement succeeded. */
  std::optional<StatementError> error;
  std::string error_text;
  /** The member's digest of the result; empty for what the gateway answered
   * itself. */
  std::string digest;
  TransactionState state = TransactionState::kIdle;
  std::optional<LogPosition> position;
  /** Whether the session had better go on at another proxy: this one is cut
   * off. It is ended after the answer, when it is at rest. */
  bool elsewhere = false;
};

/** The answer to a statement that got no result. */
inline ClientReply FailureReply(StatementError error, std::string text) {
  ClientReply reply;
  reply.error = error;
  reply.error_text = std::move(text);
  return reply;
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_CLIENT_STATEMENT_H_
