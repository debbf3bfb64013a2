#ifndef LACEWINGFERRY_CORE_SESSION_TOKEN_H_
#define LACEWINGFERRY_CORE_SESSION_TOKEN_H_

// Defines SessionToken, what a caller carries from one proxy to the next.

#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** The position that a session's next read of a database has to include. */
struct SeenPosition {
  DatabaseId database;
  LogPosition position;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("position", self.position);
  }
};

/** What a session has seen, the database used last first. A database that is
 * missing may have been dropped: its next read proves nothing and goes to the
 * primary. */
struct SessionToken {
  std::vector<SeenPosition> positions;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("positions", self.positions);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_SESSION_TOKEN_H_
