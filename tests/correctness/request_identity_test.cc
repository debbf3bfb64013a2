#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "bench/model/fleet.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RequestIdentityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestIdentityTest);
  CPPUNIT_TEST(AResendThroughAnotherProxyFindsTheFirstAnswer);
  CPPUNIT_TEST(ADifferentStatementIsRefused);
  CPPUNIT_TEST(AResendWaitsForTheRunningFirst);
  CPPUNIT_TEST(AResendAfterAChangeOfPrimaryFindsTheFirstAnswer);
  CPPUNIT_TEST(ACommittedTransactionIsNotBegunAnew);
  CPPUNIT_TEST(AResentCommitOfAnAbortedTransactionIsNotRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->queue = std::make_unique<model::EventQueue>();
    this->service = milliseconds(1);
    auto options = model::KraanwaterOptions();
    options.group.service_time = [this](const MemberBatch&) {
      return std::chrono::nanoseconds(this->service);
    };
    this->fleet = std::make_unique<model::Fleet>(*this->queue, options);
    this->queue->RunUntil(this->queue->Now() + milliseconds(300));
  }

  void AResendThroughAnotherProxyFindsTheFirstAnswer() {
    const Outcome first = this->Ask(0, this->Write("id", "k"));
    const Outcome second = this->Ask(7, this->Write("id", "k"));
    CPPUNIT_ASSERT(!std::get<Answered>(first).repeated);
    CPPUNIT_ASSERT(std::get<Answered>(second).repeated);
    CPPUNIT_ASSERT_EQUAL(std::get<Answered>(first).result.affected_rows,
                         std::get<Answered>(second).result.affected_rows);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->CountOf("k"));
  }

  void ADifferentStatementIsRefused() {
    this->Ask(0, this->Write("id", "k"));
    const Outcome other = this->Ask(0, this->Write("id", "other"));
    CPPUNIT_ASSERT(std::get<NotRun>(other).code ==
                   RefusalCode::kInvalidRequest);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->CountOf("other"));
  }

  void AResendWaitsForTheRunningFirst() {
    this->service = milliseconds(300);
    std::optional<Outcome> first;
    std::optional<Outcome> second;
    this->fleet->Submit(0, this->Write("id", "k"),
                        [&](const Outcome& o) { first = o; });
    this->queue->RunUntil(this->queue->Now() + milliseconds(310));
    this->fleet->Submit(1, this->Write("id", "k"),
                        [&](const Outcome& o) { second = o; });
    this->queue->RunUntil(this->queue->Now() + seconds(3));
    CPPUNIT_ASSERT(first && second);
    CPPUNIT_ASSERT(!std::get<Answered>(*first).repeated);
    CPPUNIT_ASSERT(std::get<Answered>(*second).repeated);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->CountOf("k"));
  }

  void AResendAfterAChangeOfPrimaryFindsTheFirstAnswer() {
    this->Ask(0, this->Write("id", "k"));
    this->ReplacePrimary();
    const Outcome again = this->Ask(3, this->Write("id", "k"));
    CPPUNIT_ASSERT(std::get<Answered>(again).repeated);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->CountOf("k"));
  }

  void ACommittedTransactionIsNotBegunAnew() {
    StatementRequest begin = this->Request(RequestKind::kBegin);
    begin.request_id = RequestId("tx");
    const Outcome begun = this->Ask(0, begin);
    const TransactionId transaction = std::get<Answered>(begun).transaction;
    StatementRequest put = this->Write("", "k");
    put.transaction = transaction;
    this->Ask(0, put);
    StatementRequest commit = this->Request(RequestKind::kCommit);
    commit.transaction = transaction;
    CPPUNIT_ASSERT(std::holds_alternative<Answered>(this->Ask(0, commit)));
    const Outcome again = this->Ask(5, begin);
    CPPUNIT_ASSERT(std::get<Answered>(again).repeated);
    CPPUNIT_ASSERT(std::get<Answered>(again).transaction.Empty());
  }

  void AResentCommitOfAnAbortedTransactionIsNotRun() {
    const Outcome begun = this->Ask(0, this->Request(RequestKind::kBegin));
    const TransactionId transaction = std::get<Answered>(begun).transaction;
    StatementRequest put = this->Write("", "k");
    put.transaction = transaction;
    this->Ask(0, put);
    this->ReplacePrimary();
    StatementRequest commit = this->Request(RequestKind::kCommit);
    commit.transaction = transaction;
    commit.request_id = RequestId("tx");
    CPPUNIT_ASSERT(std::holds_alternative<NotRun>(this->Ask(0, commit)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->CountOf("k"));
  }

 private:
  StatementRequest Request(RequestKind kind) const {
    StatementRequest request;
    request.database = this->fleet->Database();
    request.kind = kind;
    request.timeout = seconds(2);
    return request;
  }

  StatementRequest Write(const std::string& id, const std::string& key) const {
    StatementRequest request = this->Request(RequestKind::kWrite);
    request.statement = {"PUT", {SqlValue(key), SqlValue("v")}};
    request.request_id = RequestId(id);
    return request;
  }

  Outcome Ask(std::size_t proxy, const StatementRequest& request) {
    std::optional<Outcome> got;
    this->fleet->Submit(proxy, request, [&](const Outcome& o) { got = o; });
    this->queue->RunUntil(this->queue->Now() + seconds(3));
    CPPUNIT_ASSERT(got);
    return *got;
  }

  /** Makes the second member the primary of term 2. */
  void ReplacePrimary() {
    model::FakeGroup& group = this->fleet->Group();
    for (std::size_t i = 0; i < 3; ++i) {
      group.Fence(this->fleet->MemberName(i), 2);
    }
    const MemberId primary = this->fleet->MemberName(1);
    group.Promote(primary, 2);
    group.Follow(this->fleet->MemberName(0), 2, primary);
    group.Follow(this->fleet->MemberName(2), 2, primary);
    this->fleet->Publish(2, primary);
    this->queue->RunUntil(this->queue->Now() + milliseconds(300));
  }

  /** How often the newest log sets a key. */
  std::size_t CountOf(const std::string& key) {
    std::size_t count = 0;
    const auto& members = this->fleet->Group().Members();
    for (const auto& member : members) {
      if (!member.second.primary) continue;
      for (const auto& entry : member.second.log) {
        for (const auto& put : entry.puts) count += put.first == key ? 1 : 0;
      }
    }
    return count;
  }

  std::unique_ptr<model::EventQueue> queue;
  std::unique_ptr<model::Fleet> fleet;
  milliseconds service{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestIdentityTest);

}  // namespace
}  // namespace lacewingferry
