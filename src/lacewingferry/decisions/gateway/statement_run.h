#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RUN_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RUN_H_

// Defines StatementRun, a statement on its way to a member and back.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <tuple>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/core/service_configuration.h"
#include "lacewingferry/decisions/gateway/session_state.h"

namespace lacewingferry {

/** A statement that a member has to see. */
struct StatementRun {
  ClientId client = 0;
  ClientStatement statement;
  /** The group that serves it. */
  DatabaseId database;
  /** What the statement runs under; a later route applies to later ones. */
  std::chrono::milliseconds latency_objective{0};
  std::chrono::milliseconds max_staleness{0};
  ReadConsistency consistency = ReadConsistency::kPrimary;
  std::uint32_t priority = 0;
  /** The session as it is now; it outlives the run. */
  std::shared_ptr<const SessionState> session;
  /** The newest commit of the session itself. */
  LogPosition session_position;
  std::chrono::steady_clock::time_point arrived;
  /** The statement is given up then. */
  std::chrono::steady_clock::time_point deadline;
  /** Whether it belongs to an open transaction. */
  bool in_transaction = false;
  /** Whether it may change data, by itself or by ending a transaction. */
  bool writes = false;
  /** Whether the member acknowledges something lasting with the answer. */
  bool commits = false;
  /** Whether only the primary serves it. */
  bool needs_primary = false;
  /** For a read elsewhere: what the member's log must have. */
  std::optional<LogPosition> least_position;
  /** Members that refused it or didn't answer. */
  std::set<MemberId> avoided;
  int attempts = 0;
  /** The connections on which it is under way. */
  std::set<LinkId> links;
  /** Whether it was sent to a second member, and when that is due. */
  bool hedged = false;
  std::chrono::steady_clock::time_point hedge_at;
  bool ended = false;
  /** The member that answered, and how the answer was proved. */
  MemberId served_by;

  /** Whether it can be sent again, also when it may have run. */
  bool Repeatable() const { return !this->writes && !this->in_transaction; }
};

using RunPtr = std::shared_ptr<StatementRun>;

/** The order in which waiting statements are served: by priority, then by how
 * little time is left. */
inline bool ServedBefore(const RunPtr& a, const RunPtr& b) {
  return std::tie(a->priority, a->deadline) <
         std::tie(b->priority, b->deadline);
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RUN_H_
