#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include "tests/support/postgres_client.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kDelay{40};

/** Only lower bounds are judged, since a busy machine adds to them. */
class StandinDelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinDelayTest);
  CPPUNIT_TEST(DelaysConnections);
  CPPUNIT_TEST(DelaysAnswers);
  CPPUNIT_TEST(DelaysEachBatchOnce);
  CPPUNIT_TEST(ServesOthersDuringAStatement);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DelaysConnections() {
    const RunningStandin member(Settings({kDelay, {}, {}}));
    const auto start = steady_clock::now();
    PostgresClient client(member.Port());
    CPPUNIT_ASSERT(client.Connected());
    CPPUNIT_ASSERT(steady_clock::now() - start >= kDelay);
  }

  void DelaysAnswers() {
    const RunningStandin member(Settings({{}, kDelay, {}}));
    PostgresClient client(member.Port());
    const auto start = steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), client.Value("SELECT 1"));
    CPPUNIT_ASSERT(steady_clock::now() - start >= kDelay);
  }

  void DelaysEachBatchOnce() {
    const RunningStandin member(Settings({{}, {}, kDelay}));
    PostgresClient client(member.Port());
    auto start = steady_clock::now();
    for (int i = 0; i < 2; ++i) client.Run("SELECT $1", {"1"});
    CPPUNIT_ASSERT(steady_clock::now() - start >= 2 * kDelay);
    start = steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(std::string("2"), client.Value("SELECT 1; SELECT 2"));
    CPPUNIT_ASSERT(steady_clock::now() - start >= kDelay);
  }

  void ServesOthersDuringAStatement() {
    const RunningStandin member(Settings({{}, {}, std::chrono::hours(1)}));
    PostgresClient busy(member.Port());
    PQsendQuery(busy.Raw(), "SELECT 1");
    PostgresClient other(member.Port());
    CPPUNIT_ASSERT(other.Connected());
    PQconsumeInput(busy.Raw());
    CPPUNIT_ASSERT_EQUAL(1, PQisBusy(busy.Raw()));
  }

 private:
  static standin::StandinSettings Settings(
      const standin::PostgresDelays& delays) {
    standin::StandinSettings settings = MemberSettingsOf("a");
    settings.postgres.delays = delays;
    return settings;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinDelayTest);

}  // namespace
}  // namespace lacewingferry::testing
