#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_STATEMENT_BATCH_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_STATEMENT_BATCH_H_

// Defines which SQL a request becomes and where its parts stand in the
// result.

#include <cstddef>
#include <string>

#include "lacewingferry/core/statement.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

/** A batch and the places of its parts; kNoPlace where a part is missing. */
struct StatementBatch {
  static constexpr std::size_t kNoPlace = static_cast<std::size_t>(-1);

  SqlBatch batch;
  /** The caller's own statement. */
  std::size_t statement = kNoPlace;
  /** The row that records the request's identifier. */
  std::size_t identifier = kNoPlace;
  /** The member's state before a read, and after a read or a commit. */
  std::size_t status_before = kNoPlace;
  std::size_t status_after = kNoPlace;
};

/** Builds the batch for a request; status_sql is the dialect's. */
StatementBatch BuildStatementBatch(const StatementRequest& request,
                                   const std::string& status_sql);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_STATEMENT_BATCH_H_
