#ifndef LACEWINGFERRY_CORE_OUTCOME_H_
#define LACEWINGFERRY_CORE_OUTCOME_H_

// Defines Outcome, the typed fate of a request.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** Why a request was refused. */
enum class RefusalCode : std::uint8_t {
  kUnknownDatabase = 0,
  kNoPrimary = 1,
  kNoReplicaFreshEnough = 2,
  kOverloaded = 3,
  kDeadline = 4,
  kStopping = 5,
  kNoOwner = 6,
  kUnknownTransaction = 7,
  kTransactionAborted = 8,
  kInvalidToken = 9,
  kInvalidRequest = 10,
  kMemberUnreachable = 11,
  kTermLost = 12,
  kStarting = 13,
};

/** The request had no effect and never will have one. */
struct NotRun {
  RefusalCode code = RefusalCode::kOverloaded;
  std::string detail;
  /** How old the replica's data was; set where that was the reason. */
  std::optional<std::chrono::milliseconds> replica_age{};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("code", self.code);
    visit("detail", self.detail);
    visit("replica_age", self.replica_age);
  }
};

/** The request ran; this is its whole answer. */
struct Answered {
  ResultSet result;
  /** The position that a later read of the session has to include. */
  LogPosition position;
  MemberId served_by;
  bool served_by_replica = false;
  /** What a replica had applied before the statement ran. */
  LogPosition applied;
  /** An upper bound of the data's age; none for the primary's own data. */
  std::optional<std::chrono::milliseconds> age_bound;
  /** Whether the answer is that of an earlier run of the same identifier. */
  bool repeated = false;
  /** Set when the request opened a transaction. */
  TransactionId transaction;
  /** How long a replica took for a read once its data was new enough: the wait
   * for a connection and the run. Zero where that was not measured. */
  std::chrono::nanoseconds member_time{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("result", self.result);
    visit("position", self.position);
    visit("served_by", self.served_by);
    visit("served_by_replica", self.served_by_replica);
    visit("applied", self.applied);
    visit("age_bound", self.age_bound);
    visit("repeated", self.repeated);
    visit("transaction", self.transaction);
    visit("member_time", self.member_time);
  }
};

/** The database rejected the statement and rolled it back. */
struct StatementFailed {
  std::string sqlstate;
  std::string message;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("sqlstate", self.sqlstate);
    visit("message", self.message);
  }
};

/** The request may or may not have run. */
struct UnknownOutcome {
  std::string detail;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("detail", self.detail);
  }
};

/** The fate of a request, exactly one for each. */
using Outcome = std::variant<NotRun, Answered, StatementFailed, UnknownOutcome>;

/** The name of a refusal in answers and logs, for example no_primary. */
const char* RefusalName(RefusalCode code);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_OUTCOME_H_
