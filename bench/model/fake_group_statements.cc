#include "bench/model/fake_group.h"

namespace lacewingferry::model {
namespace {

/** The key under which a member's state holds the table of identifiers, and
 * what stands before each identifier. */
constexpr char kRecordTable[] = "ferry_requests";
constexpr char kRecordPrefix[] = "ferry_requests/";
/** Separates the digest from the answer. */
constexpr char kFieldEnd = '\x1f';

std::string RecordKey(const MemberStatement& statement) {
  return kRecordPrefix + statement.request_id.Value();
}

/** The codes that the members of PostgreSQL give. */
MemberError NotPrimary() { return {MemberErrorKind::kNotPrimary, "25006", ""}; }

MemberError Rejected(const std::string& code) {
  return {MemberErrorKind::kRejected, code, ""};
}

}  // namespace

bool FakeGroup::Blocked(const Session& session,
                        const MemberStatement& statement) const {
  if (statement.kind != MemberStatementKind::kClaimRecord) return false;
  const std::string key = RecordKey(statement);
  for (const auto& entry : this->sessions) {
    const Session& other = *entry.second;
    if (&other == &session || other.member != session.member) continue;
    for (const auto& put : other.puts) {
      if (put.first == key) return true;
    }
  }
  return false;
}

std::optional<MemberError> FakeGroup::RunStatement(
    Session& session, const MemberStatement& statement, MemberResult& result) {
  FakeMember& member = this->members.at(session.member);
  if (statement.kind == MemberStatementKind::kRollback) {
    this->RollBack(session);
    return std::nullopt;
  }
  if (session.failed) return Rejected("25P02");
  switch (statement.kind) {
    case MemberStatementKind::kCaller:
      return this->RunCaller(session, statement.caller, result.rows);
    case MemberStatementKind::kBegin:
      session.in_transaction = true;
      return std::nullopt;
    case MemberStatementKind::kCommit:
      return this->RunCommit(session);
    case MemberStatementKind::kState:
      result.state =
          this->options.state ? this->options.state(member) : member.State();
      return std::nullopt;
    case MemberStatementKind::kFence:
    case MemberStatementKind::kPromote:
    case MemberStatementKind::kFollow:
      result.role = this->ChangeRole(member, statement);
      return std::nullopt;
    default:
      return this->RunRecord(session, statement, result);
  }
}

std::optional<MemberError> FakeGroup::RunCaller(Session& session,
                                                const SqlStatement& statement,
                                                ResultSet& rows) {
  if (statement.sql == "PUT" || statement.sql == "PUTNEW") {
    return this->RunPut(session, statement, rows);
  }
  if (statement.sql != "GET") return Rejected("42601");
  const FakeMember& member = this->members.at(session.member);
  const auto found = member.state.find(*statement.parameters.at(0));
  if (found != member.state.end()) rows.rows.push_back({found->second});
  return std::nullopt;
}

std::optional<MemberError> FakeGroup::RunCommit(Session& session) {
  FakeMember& member = this->members.at(session.member);
  const bool demoted =
      session.demoted || (!session.puts.empty() && !member.primary);
  if (demoted) {
    this->RollBack(session);
    return NotPrimary();
  }
  this->CommitOpen(session, member);
  return std::nullopt;
}

std::optional<MemberError> FakeGroup::RunPut(Session& session,
                                             const SqlStatement& statement,
                                             ResultSet& rows) {
  FakeMember& member = this->members.at(session.member);
  if (!member.primary || session.demoted) return NotPrimary();
  const std::string& key = *statement.parameters.at(0);
  if (statement.sql == "PUTNEW" && member.state.count(key) > 0) {
    return Rejected("23505");
  }
  session.puts.emplace_back(key, *statement.parameters.at(1));
  rows.affected_rows = 1;
  if (!session.in_transaction) this->CommitOpen(session, member);
  return std::nullopt;
}

std::optional<MemberError> FakeGroup::RunRecord(
    Session& session, const MemberStatement& statement, MemberResult& result) {
  FakeMember& member = this->members.at(session.member);
  const std::string key = RecordKey(statement);
  if (statement.kind == MemberStatementKind::kFindRecord) {
    const auto found = member.state.find(key);
    if (found == member.state.end()) return std::nullopt;
    const std::size_t end = found->second.find(kFieldEnd);
    result.record = RequestRecord{found->second.substr(0, end),
                                  found->second.substr(end + 1)};
    return std::nullopt;
  }
  if (!this->options.keeps_records) return std::nullopt;
  if (!member.primary || session.demoted) return NotPrimary();
  if (statement.kind == MemberStatementKind::kCreateRecords) {
    session.puts.emplace_back(kRecordTable, "");
    this->CommitOpen(session, member);
    return std::nullopt;
  }
  if (statement.kind == MemberStatementKind::kStoreAnswer) {
    for (auto& put : session.puts) {
      if (put.first == key) put.second += statement.answer;
    }
    return std::nullopt;
  }
  if (member.state.count(kRecordTable) == 0) {
    return MemberError{MemberErrorKind::kNoRecords, "42P01", ""};
  }
  if (member.state.count(key) > 0) {
    return MemberError{MemberErrorKind::kRecordTaken, "23505", ""};
  }
  session.puts.emplace_back(key, statement.digest + std::string(1, kFieldEnd));
  return std::nullopt;
}

void FakeGroup::RollBack(Session& session) {
  session.in_transaction = false;
  session.failed = false;
  session.demoted = false;
  session.puts.clear();
}

RoleAnswer FakeGroup::ChangeRole(FakeMember& member,
                                 const MemberStatement& statement) {
  RoleAnswer answer;
  if (statement.kind == MemberStatementKind::kFence) {
    answer.accepted = this->Fence(member.info.id, statement.term);
  } else if (statement.kind == MemberStatementKind::kPromote) {
    answer.accepted = member.Promote(statement.term);
  } else {
    // The model's endpoints carry the member's name as the host.
    answer.accepted = this->Follow(member.info.id, statement.term,
                                   MemberId(statement.primary_log.host));
  }
  answer.term = member.term;
  answer.position = member.Durable();
  return answer;
}

}  // namespace lacewingferry::model
