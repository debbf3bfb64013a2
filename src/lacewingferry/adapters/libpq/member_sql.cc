#include "lacewingferry/adapters/libpq/member_sql.h"

#include <charconv>
#include <utility>
#include <vector>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

// A request's row is written in the same transaction as its effects and lives
// and dies with them.
constexpr char kCreateRecords[] =
    "CREATE TABLE IF NOT EXISTS ferry_requests ("
    "request_id TEXT PRIMARY KEY, digest TEXT NOT NULL, answer TEXT)";
constexpr char kClaimRecord[] =
    "INSERT INTO ferry_requests (request_id, digest) VALUES ($1, $2)";
constexpr char kStoreAnswer[] =
    "UPDATE ferry_requests SET answer = $2 WHERE request_id = $1";
constexpr char kFindRecord[] =
    "SELECT digest, answer FROM ferry_requests WHERE request_id = $1";

/** Codes of PostgreSQL's list of errors. */
constexpr char kUniqueViolation[] = "23505";
constexpr char kUndefinedTable[] = "42P01";
constexpr char kReadOnlyTransaction[] = "25006";
/** A commit whose result got lost, by the SQL standard's names:
 * statement_completion_unknown and transaction_resolution_unknown. */
constexpr char kCompletionUnknown[] = "40003";
constexpr char kResolutionUnknown[] = "08007";

/** The columns of a row of state. */
enum StateColumn : std::size_t {
  kMember,
  kSelf,
  kRole,
  kTerm,
  kHistoryTerm,
  kHistoryOffset,
  kAppliedTerm,
  kAppliedOffset,
  kStateColumns,
};

/** The columns of the answer to a change of role. */
enum RoleColumn : std::size_t {
  kAccepted,
  kRoleTerm,
  kEndTerm,
  kEndOffset,
};
constexpr std::size_t kColumnsOfFence = 4;
constexpr std::size_t kColumnsOfOtherRoles = 2;

using Row = std::vector<SqlValue>;

const std::string& TextAt(const Row& row, std::size_t column) {
  if (column >= row.size()) {
    throw DecodeError("a member's row has " + std::to_string(row.size()) +
                      " columns");
  }
  if (!row[column]) {
    throw DecodeError("column " + std::to_string(column) +
                      " of a member's row is null");
  }
  return *row[column];
}

std::uint64_t NumberAt(const Row& row, std::size_t column) {
  const std::string& text = TextAt(row, column);
  const char* end = text.data() + text.size();
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    throw DecodeError("column " + std::to_string(column) +
                      " of a member's row is not a number: " + text);
  }
  return number;
}

LogPosition PositionAt(const Row& row, std::size_t column) {
  return {NumberAt(row, column), NumberAt(row, column + 1)};
}

GroupMemberState ReadState(const Row& row) {
  if (row.size() < kStateColumns) {
    throw DecodeError("a member's state has " + std::to_string(row.size()) +
                      " columns");
  }
  GroupMemberState state;
  state.member = MemberId(TextAt(row, kMember));
  state.self = TextAt(row, kSelf) == "t";
  state.primary = TextAt(row, kRole) == "primary";
  state.term = NumberAt(row, kTerm);
  state.durable = PositionAt(row, kHistoryTerm);
  state.applied = PositionAt(row, kAppliedTerm);
  return state;
}

RoleAnswer ReadRole(MemberStatementKind kind, const Row& row) {
  const bool fence = kind == MemberStatementKind::kFence;
  if (row.size() < (fence ? kColumnsOfFence : kColumnsOfOtherRoles)) {
    throw DecodeError("the answer to a change of role has " +
                      std::to_string(row.size()) + " columns");
  }
  RoleAnswer answer;
  answer.accepted = row[kAccepted] == SqlValue("t");
  answer.term = NumberAt(row, kRoleTerm);
  if (fence) answer.position = PositionAt(row, kEndTerm);
  return answer;
}

RequestRecord ReadRecord(const Row& row) {
  return {TextAt(row, 0), row.size() > 1 ? row[1] : std::nullopt};
}

SqlValue Term(const MemberStatement& statement) {
  return std::to_string(statement.term);
}

}  // namespace

SqlStatement BuildMemberSql(const MemberDialect& dialect,
                            const MemberStatement& statement) {
  switch (statement.kind) {
    case MemberStatementKind::kCaller:
      return statement.caller;
    case MemberStatementKind::kBegin:
      return {"BEGIN", {}};
    case MemberStatementKind::kCommit:
      return {"COMMIT", {}};
    case MemberStatementKind::kRollback:
      return {"ROLLBACK", {}};
    case MemberStatementKind::kState:
      return {dialect.status, {}};
    case MemberStatementKind::kFence:
      return {dialect.fence, {Term(statement)}};
    case MemberStatementKind::kPromote:
      return {dialect.promote, {Term(statement)}};
    case MemberStatementKind::kFollow:
      return {dialect.follow,
              {Term(statement), statement.primary_log.host,
               std::to_string(statement.primary_log.port)}};
    case MemberStatementKind::kCreateRecords:
      return {kCreateRecords, {}};
    case MemberStatementKind::kClaimRecord:
      return {kClaimRecord, {statement.request_id.Value(), statement.digest}};
    case MemberStatementKind::kStoreAnswer:
      return {kStoreAnswer, {statement.request_id.Value(), statement.answer}};
    case MemberStatementKind::kFindRecord:
      return {kFindRecord, {statement.request_id.Value()}};
  }
  throw InternalError("a member's statement of an unknown kind");
}

MemberResult ReadMemberResult(MemberStatementKind kind, ResultSet rows) {
  MemberResult result;
  switch (kind) {
    case MemberStatementKind::kCaller:
      result.rows = std::move(rows);
      break;
    case MemberStatementKind::kState:
      for (const Row& row : rows.rows) result.state.push_back(ReadState(row));
      break;
    case MemberStatementKind::kFence:
    case MemberStatementKind::kPromote:
    case MemberStatementKind::kFollow:
      if (!rows.rows.empty()) result.role = ReadRole(kind, rows.rows.front());
      break;
    case MemberStatementKind::kFindRecord:
      if (!rows.rows.empty()) result.record = ReadRecord(rows.rows.front());
      break;
    default:
      break;
  }
  return result;
}

MemberErrorKind ClassifyMemberError(MemberStatementKind kind,
                                    const std::string& sqlstate) {
  if (sqlstate == kReadOnlyTransaction) return MemberErrorKind::kNotPrimary;
  if (sqlstate == kCompletionUnknown || sqlstate == kResolutionUnknown) {
    return MemberErrorKind::kOutcomeUnknown;
  }
  const bool claim = kind == MemberStatementKind::kClaimRecord;
  if (claim && sqlstate == kUniqueViolation) {
    return MemberErrorKind::kRecordTaken;
  }
  const bool find = kind == MemberStatementKind::kFindRecord;
  if ((claim || find) && sqlstate == kUndefinedTable) {
    return MemberErrorKind::kNoRecords;
  }
  return MemberErrorKind::kRejected;
}

}  // namespace lacewingferry
