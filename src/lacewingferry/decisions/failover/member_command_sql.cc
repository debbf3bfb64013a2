#include "lacewingferry/decisions/failover/member_command_sql.h"

#include <charconv>
#include <string>
#include <vector>

#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/execution/member_status.h"

namespace lacewingferry {
namespace {

enum Column : std::size_t {
  kAccepted,
  kTerm,
  kHistoryTerm,
  kHistoryOffset,
};
constexpr std::size_t kColumnsOfFence = 4;
constexpr std::size_t kColumnsOfOthers = 2;

std::uint64_t NumberAt(const std::vector<SqlValue>& row, Column column) {
  std::uint64_t number = 0;
  if (!row[column]) throw DecodeError("a number is null");
  const std::string& text = *row[column];
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    throw DecodeError("not a number: " + text);
  }
  return number;
}

void ReadRow(const std::vector<SqlValue>& row, MemberCommandResult& result) {
  const bool fence = result.kind == MemberCommandKind::kFence;
  if (row.size() < (fence ? kColumnsOfFence : kColumnsOfOthers)) {
    throw DecodeError("too few columns");
  }
  result.accepted = row[kAccepted] == SqlValue("t");
  result.member_term = NumberAt(row, kTerm);
  if (fence) {
    result.position = {NumberAt(row, kHistoryTerm),
                       NumberAt(row, kHistoryOffset)};
  }
  result.answered = true;
}

void ReadReport(const ResultSet& rows, MemberCommandResult& result) {
  const std::vector<MemberStatus> status = ParseMemberStatus(rows);
  const MemberStatus& self = SelfStatus(status);
  result.accepted = true;
  result.member_term = self.term;
  result.position = self.durable;
  result.answered = true;
}

}  // namespace

SqlStatement BuildMemberCommand(const MemberDialect& dialect,
                                const MemberCommand& command) {
  const SqlValue term = std::to_string(command.term);
  switch (command.kind) {
    case MemberCommandKind::kFence:
      return {dialect.fence, {term}};
    case MemberCommandKind::kPromote:
      return {dialect.promote, {term}};
    case MemberCommandKind::kFollow:
      return {dialect.follow,
              {term, command.primary_log.host,
               std::to_string(command.primary_log.port)}};
    case MemberCommandKind::kReport:
      return {dialect.status, {}};
  }
  throw InternalError("member command of an unknown kind");
}

MemberCommandResult ReadMemberCommandResult(
    const MemberCommand& command, const std::optional<ResultSet>& rows) {
  MemberCommandResult result;
  result.command_id = command.command_id;
  result.database = command.database;
  result.member = command.member.id;
  result.kind = command.kind;
  result.term = command.term;
  if (!rows || rows->rows.empty()) return result;
  try {
    if (command.kind == MemberCommandKind::kReport) {
      ReadReport(*rows, result);
    } else {
      ReadRow(rows->rows.front(), result);
    }
  } catch (const DecodeError&) {
    result.answered = false;
  }
  return result;
}

}  // namespace lacewingferry
