#ifndef LACEWINGFERRY_CORE_SESSION_TOKEN_H_
#define LACEWINGFERRY_CORE_SESSION_TOKEN_H_

// Defines SessionToken, what a caller carries from one proxy to the next.

#include <map>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** The newest position that a session has seen of each database. */
struct SessionToken {
  std::map<DatabaseId, LogPosition> positions;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("positions", self.positions);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_SESSION_TOKEN_H_
