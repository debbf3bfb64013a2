#ifndef LACEWINGFERRY_CORE_MEMBER_STATEMENT_H_
#define LACEWINGFERRY_CORE_MEMBER_STATEMENT_H_

// Defines MemberStatement and MemberResult, what a member of a group runs on a
// connection and answers, free of any dialect.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/group_member_state.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** What a member is asked to run. */
enum class MemberStatementKind : std::uint8_t {
  /** A caller's own statement. */
  kCaller,
  kBegin,
  kCommit,
  kRollback,
  /** Reports the state of the member and of its replicas. */
  kState,
  /** Refuses all lower terms and reports the end of the log. */
  kFence,
  kPromote,
  kFollow,
  /** Creates the table of identified requests. */
  kCreateRecords,
  /** Records an identifier; waits while another transaction records it. */
  kClaimRecord,
  /** Stores the answer beside the identifier. */
  kStoreAnswer,
  kFindRecord,
};

/** One statement on a connection. */
struct MemberStatement {
  MemberStatementKind kind = MemberStatementKind::kCaller;
  /** For kCaller. */
  SqlStatement caller{};
  /** For the statements on records. */
  RequestId request_id{};
  /** For kClaimRecord: tells whether a resend asks for the same. */
  std::string digest{};
  /** For kStoreAnswer. */
  std::string answer{};
  /** For kFence, kPromote and kFollow. */
  std::uint64_t term = 0;
  /** For kFollow: where the primary streams its log. */
  Endpoint primary_log{};
};

/** Statements sent in one flight. After the first that fails the rest don't
 * run. */
struct MemberBatch {
  std::vector<MemberStatement> statements;
};

/** The row of an identified request. */
struct RequestRecord {
  std::string digest;
  /** What its first run answered; none or empty if that wasn't stored. */
  std::optional<std::string> answer;
};

/** What a member answers to a change of its role. */
struct RoleAnswer {
  bool accepted = false;
  /** The highest term that the member was told. */
  std::uint64_t term = 0;
  /** For kFence: the end of the member's log since. */
  LogPosition position;
};

/** The result of a statement that ran; each part for the kinds it names. */
struct MemberResult {
  /** For kCaller. */
  ResultSet rows{};
  /** For kState. */
  std::vector<GroupMemberState> state{};
  /** For kFindRecord; none if nothing is recorded. */
  std::optional<RequestRecord> record{};
  /** For kFence, kPromote and kFollow; none if the member didn't say. */
  std::optional<RoleAnswer> role{};
};

/** Why a statement failed. */
enum class MemberErrorKind : std::uint8_t {
  /** The member rejected it for a reason that is the caller's matter. */
  kRejected,
  /** The member takes no writes. */
  kNotPrimary,
  /** Another transaction has recorded the identifier. */
  kRecordTaken,
  /** The table of identified requests doesn't exist yet. */
  kNoRecords,
  /** The member itself doesn't know what became of it. */
  kOutcomeUnknown,
};

/** The failure of a statement. */
struct MemberError {
  MemberErrorKind kind = MemberErrorKind::kRejected;
  /** The database's own code, for the caller. */
  std::string code;
  std::string message;
};

/** What became of a batch whose answer arrived whole. */
struct MemberBatchResult {
  /** The results of the statements that ran, in order. */
  std::vector<MemberResult> results;
  /** Why the next statement failed; none if all ran. */
  std::optional<MemberError> error;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MEMBER_STATEMENT_H_
