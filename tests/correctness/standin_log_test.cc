#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "standin/replication_log.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry::testing {
namespace {

using standin::LogEntry;
using standin::ReplicationLog;

/** Appends as many entries of a term. */
void Write(ReplicationLog& log, std::uint64_t term, int count) {
  for (int i = 0; i < count; ++i) {
    log.Append(
        {LogEntry{{term, log.End().offset + 1}, {{"SELECT $1", {"x"}}}}});
  }
}

class StandinLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinLogTest);
  CPPUNIT_TEST(FindsTheCommonPartOfTwoHistories);
  CPPUNIT_TEST(TruncationEqualsAShorterHistory);
  CPPUNIT_TEST(ReadsBackWhatItWrote);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsTheCommonPartOfTwoHistories() {
    CPPUNIT_ASSERT(rc::check([] {
      ReplicationLog mine("");
      ReplicationLog theirs("");
      std::uint64_t common = 0;
      const int shared_terms = *rc::gen::inRange(0, 4);
      for (int term = 1; term <= shared_terms; ++term) {
        const int count = *rc::gen::inRange(0, 4);
        Write(mine, static_cast<std::uint64_t>(term), count);
        Write(theirs, static_cast<std::uint64_t>(term), count);
        common += static_cast<std::uint64_t>(count);
      }
      // After the common part no term wrote to both.
      Write(mine, 10, *rc::gen::inRange(0, 4));
      Write(theirs, 11, *rc::gen::inRange(0, 4));
      RC_ASSERT(mine.CommonOffset(theirs.Terms()) == common);
      RC_ASSERT(theirs.CommonOffset(mine.Terms()) == common);
    }));
  }

  void TruncationEqualsAShorterHistory() {
    CPPUNIT_ASSERT(rc::check([] {
      ReplicationLog cut("");
      const int first = *rc::gen::inRange(0, 4);
      const int second = *rc::gen::inRange(0, 4);
      Write(cut, 2, first);
      Write(cut, 5, second);
      const int kept = *rc::gen::inRange(0, first + second + 1);
      cut.Truncate(static_cast<std::uint64_t>(kept));
      ReplicationLog shorter("");
      Write(shorter, 2, std::min(first, kept));
      Write(shorter, 5, std::max(0, kept - first));
      RC_ASSERT(cut.End() == shorter.End());
      RC_ASSERT(cut.Terms() == shorter.Terms());
    }));
  }

  void ReadsBackWhatItWrote() {
    const TemporaryFolder folder;
    const std::string path = folder.Path() + "/log";
    {
      ReplicationLog log(path);
      Write(log, 1, 3);
      log.Truncate(2);
      Write(log, 2, 2);
    }
    const ReplicationLog log(path);
    CPPUNIT_ASSERT_EQUAL((LogPosition{2, 4}), log.End());
    CPPUNIT_ASSERT_EQUAL(std::string("SELECT $1"),
                         log.At(4).statements.at(0).sql);
    CPPUNIT_ASSERT(log.At(4).statements.at(0).parameters.at(0) == "x");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinLogTest);

}  // namespace
}  // namespace lacewingferry::testing
