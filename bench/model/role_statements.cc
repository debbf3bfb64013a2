#include "bench/model/role_statements.h"

#include <string>

#include "lacewingferry/decisions/execution/member_status.h"

namespace lacewingferry::model {
namespace {

std::uint64_t NumberAt(const ResultSet& rows, std::size_t column) {
  return std::stoull(*rows.rows.at(0).at(column));
}

}  // namespace

SqlStatement RoleStatementOf(const MemberCommand& command) {
  const SqlValue term(std::to_string(command.term));
  switch (command.kind) {
    case MemberCommandKind::kFence:
      return SqlStatement{"FENCE", {term}};
    case MemberCommandKind::kPromote:
      return SqlStatement{"PROMOTE", {term}};
    case MemberCommandKind::kReport:
      return SqlStatement{"STATUS", {}};
    case MemberCommandKind::kFollow:
      break;
  }
  // The model's endpoints carry the member's name as the host.
  return SqlStatement{"FOLLOW", {term, SqlValue(command.primary_log.host)}};
}

MemberCommandResult ResultOf(const MemberCommand& command,
                             const std::optional<ResultSet>& rows) {
  MemberCommandResult result;
  result.command_id = command.command_id;
  result.database = command.database;
  result.member = command.member.id;
  result.kind = command.kind;
  result.term = command.term;
  if (!rows) return result;
  result.answered = true;
  if (command.kind == MemberCommandKind::kReport) {
    const auto status = ParseMemberStatus(*rows);
    result.accepted = true;
    result.member_term = SelfStatus(status).term;
    result.position = SelfStatus(status).durable;
    return result;
  }
  result.accepted = *rows->rows.at(0).at(0) == "t";
  result.member_term = NumberAt(*rows, 1);
  result.position = LogPosition{NumberAt(*rows, 2), NumberAt(*rows, 3)};
  return result;
}

MemberAnnouncement AnnouncementOf(const FakeMember& member,
                                  std::uint64_t sequence) {
  MemberAnnouncement announcement;
  announcement.info = member.info;
  announcement.primary = member.primary;
  announcement.term = member.term;
  announcement.replication_endpoint = Endpoint{member.info.id.Value(), 1};
  announcement.position = member.Durable();
  announcement.sequence = sequence;
  return announcement;
}

}  // namespace lacewingferry::model
