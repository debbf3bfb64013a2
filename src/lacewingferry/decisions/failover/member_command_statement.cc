#include "lacewingferry/decisions/failover/member_command_statement.h"

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

MemberStatementKind KindOf(MemberCommandKind kind) {
  switch (kind) {
    case MemberCommandKind::kFence:
      return MemberStatementKind::kFence;
    case MemberCommandKind::kPromote:
      return MemberStatementKind::kPromote;
    case MemberCommandKind::kFollow:
      return MemberStatementKind::kFollow;
    case MemberCommandKind::kReport:
      return MemberStatementKind::kState;
  }
  throw InternalError("unknown kind of member command");
}

void ReadReport(const MemberResult& result, MemberCommandResult* answer) {
  if (result.state.empty()) return;
  const GroupMemberState& self = SelfState(result.state);
  answer->answered = true;
  answer->accepted = true;
  answer->member_term = self.term;
  answer->position = self.durable;
}

void ReadRole(const MemberResult& result, MemberCommandResult* answer) {
  if (!result.role) return;
  answer->answered = true;
  answer->accepted = result.role->accepted;
  answer->member_term = result.role->term;
  answer->position = result.role->position;
}

}  // namespace

MemberStatement BuildMemberStatement(const MemberCommand& command) {
  MemberStatement statement;
  statement.kind = KindOf(command.kind);
  statement.term = command.term;
  statement.primary_log = command.primary_log;
  return statement;
}

MemberCommandResult ReadMemberCommandResult(
    const MemberCommand& command, const std::optional<MemberResult>& result) {
  MemberCommandResult answer;
  answer.command_id = command.command_id;
  answer.database = command.database;
  answer.member = command.member.id;
  answer.kind = command.kind;
  answer.term = command.term;
  if (!result) return answer;
  if (command.kind == MemberCommandKind::kReport) {
    ReadReport(*result, &answer);
  } else {
    ReadRole(*result, &answer);
  }
  return answer;
}

}  // namespace lacewingferry
