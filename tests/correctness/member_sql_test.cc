#include "lacewingferry/adapters/libpq/member_sql.h"

#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/core/errors.h"

namespace lacewingferry::testing {
namespace {

MemberStatement Statement(MemberStatementKind kind) {
  MemberStatement statement;
  statement.kind = kind;
  statement.request_id = RequestId("r-1");
  statement.digest = "d";
  statement.answer = "a";
  statement.term = 7;
  statement.primary_log = Endpoint{"10.0.0.1", 15901};
  return statement;
}

ResultSet OneRow(std::vector<SqlValue> row) {
  ResultSet rows;
  rows.rows.push_back(std::move(row));
  return rows;
}

class MemberSqlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberSqlTest);
  CPPUNIT_TEST(CallersStatementsPassUnchanged);
  CPPUNIT_TEST(ParametersComeInTheOrderOfTheDialect);
  CPPUNIT_TEST(StateHasARowForEachMember);
  CPPUNIT_TEST(OnlyAFenceTellsThePosition);
  CPPUNIT_TEST(ARecordMayLackItsAnswer);
  CPPUNIT_TEST(RowsOfAnotherFormAreRejected);
  CPPUNIT_TEST(ErrorsOfRecordsAreKnownThereOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallersStatementsPassUnchanged() {
    MemberStatement statement;
    statement.caller = {"SELECT $1", {SqlValue("x"), std::nullopt}};
    const SqlStatement sql = BuildMemberSql(MemberDialect(), statement);
    CPPUNIT_ASSERT_EQUAL(std::string("SELECT $1"), sql.sql);
    CPPUNIT_ASSERT(sql.parameters == statement.caller.parameters);
  }

  void ParametersComeInTheOrderOfTheDialect() {
    const MemberDialect dialect;
    const SqlStatement follow =
        BuildMemberSql(dialect, Statement(MemberStatementKind::kFollow));
    CPPUNIT_ASSERT_EQUAL(dialect.follow, follow.sql);
    const std::vector<SqlValue> expected = {SqlValue("7"), SqlValue("10.0.0.1"),
                                            SqlValue("15901")};
    CPPUNIT_ASSERT(follow.parameters == expected);
    const SqlStatement claim =
        BuildMemberSql(dialect, Statement(MemberStatementKind::kClaimRecord));
    const std::vector<SqlValue> claimed = {SqlValue("r-1"), SqlValue("d")};
    CPPUNIT_ASSERT(claim.parameters == claimed);
    const SqlStatement store =
        BuildMemberSql(dialect, Statement(MemberStatementKind::kStoreAnswer));
    const std::vector<SqlValue> stored = {SqlValue("r-1"), SqlValue("a")};
    CPPUNIT_ASSERT(store.parameters == stored);
  }

  void StateHasARowForEachMember() {
    ResultSet rows = OneRow({SqlValue("m1"), SqlValue("t"), SqlValue("primary"),
                             SqlValue("3"), SqlValue("3"), SqlValue("40"),
                             SqlValue("2"), SqlValue("39")});
    rows.rows.push_back({SqlValue("m2"), SqlValue("f"), SqlValue("replica"),
                         SqlValue("3"), SqlValue("3"), SqlValue("38"),
                         SqlValue("3"), SqlValue("37")});
    const MemberResult result =
        ReadMemberResult(MemberStatementKind::kState, std::move(rows));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.state.size());
    const GroupMemberState& self = SelfState(result.state);
    CPPUNIT_ASSERT(self.member == MemberId("m1"));
    CPPUNIT_ASSERT(self.primary);
    CPPUNIT_ASSERT((self.durable == LogPosition{3, 40}));
    CPPUNIT_ASSERT((self.applied == LogPosition{2, 39}));
    CPPUNIT_ASSERT(!result.state.at(1).primary);
  }

  void OnlyAFenceTellsThePosition() {
    const MemberResult fence = ReadMemberResult(
        MemberStatementKind::kFence,
        OneRow({SqlValue("t"), SqlValue("8"), SqlValue("7"), SqlValue("99")}));
    CPPUNIT_ASSERT(fence.role->accepted);
    CPPUNIT_ASSERT((fence.role->position == LogPosition{7, 99}));
    const MemberResult promote = ReadMemberResult(
        MemberStatementKind::kPromote, OneRow({SqlValue("f"), SqlValue("9")}));
    CPPUNIT_ASSERT(!promote.role->accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, promote.role->term);
    const MemberResult silent =
        ReadMemberResult(MemberStatementKind::kPromote, ResultSet());
    CPPUNIT_ASSERT(!silent.role);
  }

  void ARecordMayLackItsAnswer() {
    const MemberResult found =
        ReadMemberResult(MemberStatementKind::kFindRecord,
                         OneRow({SqlValue("d"), std::nullopt}));
    CPPUNIT_ASSERT_EQUAL(std::string("d"), found.record->digest);
    CPPUNIT_ASSERT(!found.record->answer);
    const MemberResult missing =
        ReadMemberResult(MemberStatementKind::kFindRecord, ResultSet());
    CPPUNIT_ASSERT(!missing.record);
  }

  void RowsOfAnotherFormAreRejected() {
    const auto read = [](MemberStatementKind kind, std::vector<SqlValue> row) {
      ReadMemberResult(kind, OneRow(std::move(row)));
    };
    CPPUNIT_ASSERT_THROW(read(MemberStatementKind::kState, {SqlValue("m")}),
                         DecodeError);
    CPPUNIT_ASSERT_THROW(
        read(MemberStatementKind::kState,
             {SqlValue("m"), SqlValue("t"), SqlValue("primary"), SqlValue("x"),
              SqlValue("1"), SqlValue("1"), SqlValue("1"), SqlValue("1")}),
        DecodeError);
    CPPUNIT_ASSERT_THROW(
        read(MemberStatementKind::kFence, {SqlValue("t"), SqlValue("1")}),
        DecodeError);
    CPPUNIT_ASSERT_THROW(
        read(MemberStatementKind::kPromote, {SqlValue("t"), std::nullopt}),
        DecodeError);
  }

  void ErrorsOfRecordsAreKnownThereOnly() {
    const auto claim = MemberStatementKind::kClaimRecord;
    const auto caller = MemberStatementKind::kCaller;
    CPPUNIT_ASSERT(ClassifyMemberError(claim, "23505") ==
                   MemberErrorKind::kRecordTaken);
    CPPUNIT_ASSERT(ClassifyMemberError(claim, "42P01") ==
                   MemberErrorKind::kNoRecords);
    CPPUNIT_ASSERT(ClassifyMemberError(caller, "23505") ==
                   MemberErrorKind::kRejected);
    CPPUNIT_ASSERT(ClassifyMemberError(caller, "42P01") ==
                   MemberErrorKind::kRejected);
    CPPUNIT_ASSERT(ClassifyMemberError(caller, "25006") ==
                   MemberErrorKind::kNotPrimary);
    const auto commit = MemberStatementKind::kCommit;
    for (const char* code : {"40003", "08007"}) {
      CPPUNIT_ASSERT(ClassifyMemberError(commit, code) ==
                     MemberErrorKind::kOutcomeUnknown);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberSqlTest);

}  // namespace
}  // namespace lacewingferry::testing
