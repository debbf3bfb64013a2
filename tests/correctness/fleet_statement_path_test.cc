#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>

#include "bench/model/fleet.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StatementRequest MakeWrite(const DatabaseId& database, const char* key) {
  StatementRequest request;
  request.database = database;
  request.kind = RequestKind::kWrite;
  request.statement = {"PUT", {SqlValue(key), SqlValue("v")}};
  request.timeout = seconds(2);
  return request;
}

StatementRequest MakeRead(const DatabaseId& database, const char* key) {
  StatementRequest request;
  request.database = database;
  request.statement = {"GET", {SqlValue(key)}};
  request.timeout = seconds(2);
  return request;
}

class FleetStatementPathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetStatementPathTest);
  CPPUNIT_TEST(ReplicaServesTheSessionsOwnWriteAtAnyProxy);
  CPPUNIT_TEST(WriteWaitsForAMajority);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReplicaServesTheSessionsOwnWriteAtAnyProxy() {
    model::EventQueue queue;
    model::Fleet fleet(queue, model::KraanwaterOptions());
    queue.RunUntil(queue.Now() + milliseconds(200));
    std::optional<Outcome> written;
    fleet.Submit(0, MakeWrite(fleet.Database(), "k"),
                 [&](const Outcome& outcome) { written = outcome; });
    queue.RunUntil(queue.Now() + seconds(1));
    CPPUNIT_ASSERT(written);
    const auto& write = std::get<Answered>(*written);
    for (std::size_t proxy = 0; proxy < fleet.ProxyCount(); ++proxy) {
      StatementRequest read = MakeRead(fleet.Database(), "k");
      read.session_position = write.position;
      std::optional<Outcome> got;
      fleet.Submit(proxy, read, [&](const Outcome& o) { got = o; });
      queue.RunUntil(queue.Now() + seconds(1));
      CPPUNIT_ASSERT(got);
      const auto& answer = std::get<Answered>(*got);
      CPPUNIT_ASSERT(answer.served_by_replica);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.result.rows.size());
    }
  }

  void WriteWaitsForAMajority() {
    model::EventQueue queue;
    model::Fleet fleet(queue, model::KraanwaterOptions());
    queue.RunUntil(queue.Now() + milliseconds(200));
    fleet.Group().Kill(fleet.MemberName(1));
    fleet.Group().Kill(fleet.MemberName(2));
    std::optional<Outcome> written;
    fleet.Submit(0, MakeWrite(fleet.Database(), "k"),
                 [&](const Outcome& outcome) { written = outcome; });
    queue.RunUntil(queue.Now() + seconds(3));
    CPPUNIT_ASSERT(written);
    CPPUNIT_ASSERT(std::holds_alternative<UnknownOutcome>(*written));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStatementPathTest);

}  // namespace
}  // namespace lacewingferry
