#ifndef STANDIN_LOG_ENTRY_H_
#define STANDIN_LOG_ENTRY_H_

// Defines LogEntry, one committed transaction of the replicated log.

#include <vector>

#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry::standin {

/** The statements of one transaction that changed data, in order. Offsets
 * count from 1 over the whole history. */
struct LogEntry {
  LogPosition position;
  std::vector<SqlStatement> statements;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("position", self.position);
    visit("statements", self.statements);
  }
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_LOG_ENTRY_H_
