#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <variant>

#include "lacewingferry/adapters/libpq/member_sql.h"
#include "lacewingferry/decisions/execution/job_run.h"

namespace lacewingferry {
namespace {

constexpr std::uint64_t kTerm = 3;

/** The row that the primary of the term reports of itself. */
MemberResult StateOfPrimary() {
  GroupMemberState self;
  self.member = MemberId("m");
  self.self = true;
  self.primary = true;
  self.term = kTerm;
  MemberResult result;
  result.state = {self};
  return result;
}

/** What becomes of a write without an identifier whose batch fails at a
 * statement with a code: BEGIN, the write, COMMIT, the state. */
Outcome OutcomeOfWrite(std::size_t failed_at, const std::string& sqlstate) {
  StatementRequest request;
  request.kind = RequestKind::kWrite;
  request.statement.sql = "update t set a = 1";
  Job job;
  job.request = request;
  RunContext context;
  context.member = MemberId("m");
  context.primary = true;
  context.term = kTerm;
  const RunSettings settings;
  JobRun run(job, context, &settings);
  const auto& statements = run.Start().statements;
  MemberBatchResult result;
  for (std::size_t i = 0; i < failed_at; ++i) {
    const bool state = statements.at(i).kind == MemberStatementKind::kState;
    result.results.push_back(state ? StateOfPrimary() : MemberResult());
  }
  MemberError error;
  error.code = sqlstate;
  error.kind = ClassifyMemberError(statements.at(failed_at).kind, error.code);
  result.error = error;
  return *run.OnResult(result).outcome;
}

// Guards against a write that is told as not run or as rolled back although it
// may have been committed: only the answer to its commit says so (review/8).
class CommitOutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommitOutcomeTest);
  CPPUNIT_TEST(CommitWithAnUnknownResultIsUnknown);
  CPPUNIT_TEST(OnlyWhatWasNotCommittedIsToldSo);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CommitWithAnUnknownResultIsUnknown() {
    for (const char* code : {"40003", "08007"}) {
      CPPUNIT_ASSERT(
          std::holds_alternative<UnknownOutcome>(OutcomeOfWrite(2, code)));
    }
    // A commit that the member refused is rolled back.
    CPPUNIT_ASSERT(
        std::holds_alternative<StatementFailed>(OutcomeOfWrite(2, "23505")));
  }

  void OnlyWhatWasNotCommittedIsToldSo() {
    CPPUNIT_ASSERT(rc::check("failed means not committed", [] {
      const auto failed_at = *rc::gen::inRange<std::size_t>(0, 4);
      const auto code = *rc::gen::oneOf(
          rc::gen::element<std::string>("40003", "08007", "25006", "57014",
                                        "40001", "08006", "XX000", ""),
          rc::gen::arbitrary<std::string>());
      const Outcome outcome = OutcomeOfWrite(failed_at, code);
      RC_ASSERT(!std::holds_alternative<Answered>(outcome));
      // The commit is the third statement.
      const bool may_be_committed =
          failed_at > 2 ||
          (failed_at == 2 && (code == "40003" || code == "08007"));
      if (may_be_committed) {
        RC_ASSERT(std::holds_alternative<UnknownOutcome>(outcome));
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommitOutcomeTest);

}  // namespace
}  // namespace lacewingferry
