#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "lacewingferry/app/traffic_thread.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/** A traffic thread before one real member, over libpq. */
class StandinIdentifiedWriteTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinIdentifiedWriteTest);
  CPPUNIT_TEST(AResendFindsTheRowsOfTheFirstAnswer);
  CPPUNIT_TEST(ARejectedStatementLeavesNoIdentifier);
  CPPUNIT_TEST(ATransactionWithAnIdentifierIsCommittedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->member = testing::StartPrimary("works-db-1-a");
    TrafficThreadHooks hooks;
    hooks.send = [](const std::string&, const PeerBody&) {};
    hooks.events.record = [](const Event&) {};
    hooks.clock.now = [] { return steady_clock::now(); };
    TrafficSettings settings;
    settings.node = NodeId("proxy-1");
    settings.zone = AvailabilityZone("nairobi-a");
    settings.incarnation = 1;
    this->thread =
        std::make_unique<TrafficThread>(hooks, settings, MemberDialect(), 0, 1);
    this->thread->Publish(this->MakeView());
    this->thread->SetLease(this->database, steady_clock::time_point::max());
    this->thread->Start();
    this->Ask(this->Write("CREATE TABLE draws (item TEXT PRIMARY KEY)", ""));
  }

  void tearDown() override {
    this->thread.reset();
    this->member.reset();
  }

  void AResendFindsTheRowsOfTheFirstAnswer() {
    const StatementRequest draw =
        this->Write("INSERT INTO draws VALUES ('paint') RETURNING item", "d1");
    const auto first = std::get<Answered>(this->Ask(draw));
    const auto second = std::get<Answered>(this->Ask(draw));
    CPPUNIT_ASSERT(!first.repeated);
    CPPUNIT_ASSERT(second.repeated);
    CPPUNIT_ASSERT_EQUAL(std::string("paint"),
                         first.result.rows.at(0).at(0).value());
    CPPUNIT_ASSERT(first.result.rows == second.result.rows);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), this->CountDraws());
  }

  void ARejectedStatementLeavesNoIdentifier() {
    this->Ask(this->Write("INSERT INTO draws VALUES ('paint')", "d1"));
    const auto rejected =
        this->Ask(this->Write("INSERT INTO draws VALUES ('paint')", "d2"));
    CPPUNIT_ASSERT(std::holds_alternative<StatementFailed>(rejected));
    const auto mended =
        this->Ask(this->Write("INSERT INTO draws VALUES ('brush')", "d2"));
    CPPUNIT_ASSERT(!std::get<Answered>(mended).repeated);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), this->CountDraws());
  }

  void ATransactionWithAnIdentifierIsCommittedOnce() {
    StatementRequest begin = this->Request(RequestKind::kBegin);
    begin.request_id = RequestId("t1");
    const auto begun = std::get<Answered>(this->Ask(begin));
    StatementRequest draw = this->Write("INSERT INTO draws VALUES ('x')", "");
    draw.transaction = begun.transaction;
    CPPUNIT_ASSERT(std::holds_alternative<Answered>(this->Ask(draw)));
    StatementRequest commit = this->Request(RequestKind::kCommit);
    commit.transaction = begun.transaction;
    CPPUNIT_ASSERT(std::holds_alternative<Answered>(this->Ask(commit)));
    const auto again = std::get<Answered>(this->Ask(begin));
    CPPUNIT_ASSERT(again.repeated);
    CPPUNIT_ASSERT(again.transaction.Empty());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), this->CountDraws());
  }

 private:
  RoutingViewPtr MakeView() const {
    auto view = std::make_shared<RoutingView>();
    DatabaseView& entry = view->databases[this->database];
    entry.id = this->database;
    entry.term = 1;
    entry.primary = MemberId("works-db-1-a");
    entry.group_size = 1;
    entry.counted_members = {entry.primary};
    MemberInfo info;
    info.id = entry.primary;
    info.database = this->database;
    info.zone = AvailabilityZone("nairobi-a");
    info.endpoint = Endpoint{"127.0.0.1", this->member->Port()};
    info.slots = 2;
    entry.members = {RoutedMember{info, {SlotShare{NodeId("proxy-1"), 2}}}};
    view->proxies = {ProxyInfo{NodeId("proxy-1"), info.zone, "", false}};
    return view;
  }

  StatementRequest Request(RequestKind kind) const {
    StatementRequest request;
    request.database = this->database;
    request.kind = kind;
    request.timeout = seconds(3);
    return request;
  }

  StatementRequest Write(const std::string& sql, const std::string& id) const {
    StatementRequest request = this->Request(RequestKind::kWrite);
    request.statement = {sql, {}};
    request.request_id = RequestId(id);
    return request;
  }

  Outcome Ask(const StatementRequest& request) {
    auto told = std::make_shared<std::promise<Outcome>>();
    this->thread->Submit(
        request, [told](const Outcome& outcome) { told->set_value(outcome); });
    auto future = told->get_future();
    CPPUNIT_ASSERT(future.wait_for(seconds(8)) == std::future_status::ready);
    return future.get();
  }

  std::string CountDraws() {
    StatementRequest count = this->Request(RequestKind::kRead);
    count.statement = {"SELECT count(*) FROM draws", {}};
    const Outcome outcome = this->Ask(count);
    return std::get<Answered>(outcome).result.rows.at(0).at(0).value();
  }

  DatabaseId database{"works-db-1"};
  std::unique_ptr<testing::RunningStandin> member;
  std::unique_ptr<TrafficThread> thread;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinIdentifiedWriteTest);

}  // namespace
}  // namespace lacewingferry
