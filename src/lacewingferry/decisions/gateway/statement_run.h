#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RUN_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RUN_H_

// Defines StatementRun, the execution of one statement by the members of a
// group.

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

/** A statement that a member has to execute, and the state of its execution. */
struct StatementRun {
  ClientId client = 0;
  ClientStatement statement;
  /** The group that executes it. */
  DatabaseId database;
  /** Whose connections to members execute it; empty if sessions need no
   * customer. */
  CustomerId customer;
  std::uint32_t customer_priority = 0;
  /** The account that the permit of its operation was taken from. */
  std::optional<std::uint64_t> permit_account;
  /** Copied from the session's route; later route changes do not affect this
   * run. */
  std::chrono::milliseconds latency_objective{0};
  std::chrono::milliseconds max_staleness{0};
  ReadConsistency consistency = ReadConsistency::kPrimary;
  std::uint32_t priority = 0;
  /** The current state of the session, kept alive for the run. */
  std::shared_ptr<const SessionState> session;
  /** The position of the session's newest commit in this group. */
  LogPosition session_position;
  std::chrono::steady_clock::time_point arrived;
  /** The statement fails at this time if it has not been answered. */
  std::chrono::steady_clock::time_point deadline;
  /** Whether it belongs to an open transaction. */
  bool in_transaction = false;
  /** Whether it may change data, directly or by committing a transaction. */
  bool writes = false;
  /** Whether a successful answer acknowledges a commit. */
  bool commits = false;
  /** Whether only the primary serves it. */
  bool needs_primary = false;
  /** For a read that replicas may serve: the log position that the member must
   * have applied. */
  std::optional<LogPosition> least_position;
  /** Members that refused it or did not answer. */
  std::set<MemberId> avoided;
  int attempts = 0;
  /** The connections on which it is in flight. */
  std::set<LinkId> links;
  /** The connection that was opened for it; 0 for none. */
  LinkId awaited_link = 0;
  /** Whether it was also sent to a second member, and when that is due. */
  bool hedged = false;
  std::chrono::steady_clock::time_point hedge_at;
  bool ended = false;
  /** The member that answered, and on which connection; 0 for none. */
  MemberId served_by;
  LinkId served_on = 0;
  /** The number of the prepared statement there; 0 for none. */
  PreparedNumber served_prepared = 0;

  /** Whether it may be sent again even if a member may already have run it. */
  bool IsRepeatable() const { return !this->writes && !this->in_transaction; }
};

using RunPtr = std::shared_ptr<StatementRun>;

/** The order in which waiting statements are served: by priority, then by
 * earliest deadline. */
inline bool ServedBefore(const RunPtr& a, const RunPtr& b) {
  return std::tie(a->priority, a->deadline) <
         std::tie(b->priority, b->deadline);
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_STATEMENT_RUN_H_
