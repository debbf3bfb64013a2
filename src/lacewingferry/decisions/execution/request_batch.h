#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_BATCH_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_BATCH_H_

// RequestBatch holds the statements that one step of a request sends, and the
// indexes at which their results appear.

#include <cstddef>
#include <cstdint>
#include <string>

#include "lacewingferry/core/member_statement.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** The step of a request that a batch carries out. */
enum class RequestBatchKind : std::uint8_t {
  /** Runs a read, and queries the member's state before and after it. */
  kRead,
  /** Runs and commits a write that has no request identifier. */
  kWrite,
  /** Records the request identifier and runs the write without committing. */
  kClaim,
  /** Stores the answer of a claimed write and commits. */
  kStore,
  /** Looks up the record of an identifier that already exists. */
  kFind,
  /** Creates the table of request records. */
  kCreateTable,
  /** Records an identifier as void, so that no request can run under it. */
  kVoid,
  /** The steps of a transaction that the caller controls. */
  kBegin,
  kStatement,
  kCommit,
  kRollback,
  /** Rolls back a failed transaction, so that the connection can be reused. */
  kCleanUp,
};

/** A batch and the indexes of its parts; kNoIndex where a part is missing. */
struct RequestBatch {
  static constexpr std::size_t kNoIndex = static_cast<std::size_t>(-1);

  RequestBatchKind kind = RequestBatchKind::kRead;
  MemberBatch batch;
  /** The caller's statement. */
  std::size_t statement = kNoIndex;
  /** The statement that records or looks up the request identifier. */
  std::size_t identifier = kNoIndex;
  std::size_t commit = kNoIndex;
  /** The queries of the member's state before the statement and at the end. */
  std::size_t status_before = kNoIndex;
  std::size_t status_after = kNoIndex;
};

/** Builds the batch of a kind for a request. answer is the text to store and
 * is used by kStore only. */
RequestBatch BuildRequestBatch(RequestBatchKind kind,
                               const StatementRequest& request,
                               const std::string& answer = "");

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_BATCH_H_
