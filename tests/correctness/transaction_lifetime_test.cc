#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "bench/model/fleet.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TransactionLifetimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransactionLifetimeTest);
  CPPUNIT_TEST(AnIdleTransactionEndsAndFreesItsSlot);
  CPPUNIT_TEST(AProxysDeathRollsBack);
  CPPUNIT_TEST(AFailedStatementEndsItAndTheConnectionIsClean);
  CPPUNIT_TEST(AStatementCantEndOrChangeTheConnection);
  CPPUNIT_TEST(AWriteIsConfirmedWhileTransactionsHoldEverySlot);
  CPPUNIT_TEST(ACommitOfAForgottenTransactionIsUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->queue = std::make_unique<model::EventQueue>();
    auto options = model::WanjiruOptions();
    options.transactions.idle = milliseconds(2000);
    this->fleet = std::make_unique<model::Fleet>(*this->queue, options);
    this->Pass(milliseconds(300));
  }

  void AnIdleTransactionEndsAndFreesItsSlot() {
    const TransactionId first = this->Begin();
    const TransactionId second = this->Begin();
    CPPUNIT_ASSERT(std::holds_alternative<NotRun>(
        this->Ask(this->Put("k", TransactionId()), milliseconds(800))));
    this->Pass(seconds(3));
    const Outcome late = this->Ask(this->Put("k", first), seconds(1));
    CPPUNIT_ASSERT(std::get<NotRun>(late).code ==
                   RefusalCode::kTransactionAborted);
    CPPUNIT_ASSERT(std::holds_alternative<Answered>(
        this->Ask(this->Put("k", TransactionId()), seconds(1))));
    CPPUNIT_ASSERT(first != second);
  }

  void AProxysDeathRollsBack() {
    const TransactionId transaction = this->Begin();
    this->Ask(this->Put("k", transaction), seconds(1));
    for (std::size_t i = 0; i < 5; ++i) {
      if (this->fleet->Shard(i).OpenTransactions() > 0) {
        this->fleet->KillProxy(i);
      }
    }
    this->fleet->Publish(1, this->fleet->MemberName(0));
    this->Pass(seconds(1));
    CPPUNIT_ASSERT(!this->Holds("k"));
  }

  void AFailedStatementEndsItAndTheConnectionIsClean() {
    this->Ask(this->Put("k", TransactionId()), seconds(1));
    const std::size_t turned_away = this->fleet->Group().TurnedAway();
    const TransactionId transaction = this->Begin();
    this->Ask(this->Put("left", transaction), seconds(1));
    StatementRequest bad = this->Put("k", transaction);
    bad.statement.sql = "PUTNEW";
    CPPUNIT_ASSERT(
        std::holds_alternative<StatementFailed>(this->Ask(bad, seconds(1))));
    for (int i = 0; i < 4; ++i) {
      const std::string key = "after" + std::to_string(i);
      CPPUNIT_ASSERT(std::holds_alternative<Answered>(
          this->Ask(this->Put(key, TransactionId()), seconds(1))));
    }
    CPPUNIT_ASSERT(!this->Holds("left"));
    CPPUNIT_ASSERT_EQUAL(turned_away, this->fleet->Group().TurnedAway());
  }

  void AStatementCantEndOrChangeTheConnection() {
    for (const char* sql :
         {"COMMIT", " commit ;", "/* x */ Rollback", "-- x\nBEGIN",
          "SET search_path TO other", "PREPARE x AS SELECT 1"}) {
      StatementRequest request = this->Put("k", TransactionId());
      request.statement = {sql, {}};
      const Outcome outcome = this->Ask(request, seconds(1));
      CPPUNIT_ASSERT(std::get<NotRun>(outcome).code ==
                     RefusalCode::kInvalidRequest);
    }
  }

  void AWriteIsConfirmedWhileTransactionsHoldEverySlot() {
    std::size_t owner = 0;
    while (this->fleet->Shard(owner).Connections(
               this->fleet->Database(), this->fleet->MemberName(0)) == 0) {
      ++owner;
    }
    std::optional<Outcome> written;
    std::optional<Outcome> begun;
    this->fleet->Submit(owner, this->Put("k", TransactionId()),
                        [&](const Outcome& o) { written = o; });
    this->fleet->Submit(owner, this->Request(RequestKind::kBegin),
                        [&](const Outcome& o) { begun = o; });
    this->Pass(milliseconds(100));
    CPPUNIT_ASSERT(begun && written);
    CPPUNIT_ASSERT(std::holds_alternative<Answered>(*begun));
    CPPUNIT_ASSERT(std::holds_alternative<Answered>(*written));
  }

  void ACommitOfAForgottenTransactionIsUnknown() {
    const TransactionId transaction = this->Begin();
    StatementRequest commit = this->Request(RequestKind::kCommit);
    commit.transaction = transaction;
    CPPUNIT_ASSERT(
        std::holds_alternative<Answered>(this->Ask(commit, seconds(1))));
    // Sent again, it must not be told that nothing was committed.
    CPPUNIT_ASSERT(
        std::holds_alternative<UnknownOutcome>(this->Ask(commit, seconds(1))));
  }

 private:
  void Pass(std::chrono::nanoseconds time) {
    this->queue->RunUntil(
        this->queue->Now() +
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(time));
  }

  StatementRequest Request(RequestKind kind) const {
    StatementRequest request;
    request.database = this->fleet->Database();
    request.kind = kind;
    request.timeout = seconds(1);
    return request;
  }

  StatementRequest Put(const std::string& key,
                       const TransactionId& transaction) const {
    StatementRequest request = this->Request(RequestKind::kWrite);
    request.statement = {"PUT", {SqlValue(key), SqlValue("v")}};
    request.transaction = transaction;
    return request;
  }

  Outcome Ask(StatementRequest request, milliseconds timeout) {
    request.timeout = timeout;
    std::optional<Outcome> got;
    this->fleet->Submit(0, request, [&](const Outcome& o) { got = o; });
    const auto limit = this->queue->Now() + timeout + milliseconds(100);
    while (!got && this->queue->Now() < limit) this->Pass(milliseconds(1));
    CPPUNIT_ASSERT(got);
    return *got;
  }

  TransactionId Begin() {
    const Outcome begun =
        this->Ask(this->Request(RequestKind::kBegin), seconds(1));
    return std::get<Answered>(begun).transaction;
  }

  bool Holds(const std::string& key) {
    return this->fleet->Group()
               .Member(this->fleet->MemberName(0))
               .state.count(key) > 0;
  }

  std::unique_ptr<model::EventQueue> queue;
  std::unique_ptr<model::Fleet> fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransactionLifetimeTest);

}  // namespace
}  // namespace lacewingferry
