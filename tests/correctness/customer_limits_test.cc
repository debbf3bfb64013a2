#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "bench/model/session_gateway.h"
#include "lacewingferry/decisions/rate_limit/permit_grantor.h"

namespace lacewingferry {
namespace {

using model::SessionGateway;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The way to control and back. */
constexpr milliseconds kControlWay{40};

/** A proxy with two customers, before a control leader that has led for long.
 * "kaan" may start two operations a second, "mila" as many as it likes. */
class LimitFixture {
 public:
  LimitFixture()
      : grantor(PermitGrantorSettings(),
                PermitGrantorHooks{[](const NodeId&, std::uint64_t) {},
                                   [](const CustomerId&, const RateLimit&,
                                      std::uint64_t) {}}) {
    auto& customers = this->gateway.view.configuration.customers;
    customers = {Customer{CustomerId("kaan"), {"k1"}, 0, RateLimit{2, 2}},
                 Customer{CustomerId("mila"), {"m1"}, 0, {}}};
    this->grantor.OnLeadership(this->Now(), true, 1);
    this->grantor.SetCustomers(this->Now(), customers);
    this->gateway.on_permit_request = [this](const PermitRequest& request) {
      this->OnRequest(request);
    };
    this->gateway.Publish();
    this->gateway.Lease(milliseconds(600000));
    this->gateway.Vouch();
    this->gateway.Run(milliseconds(5000));
  }

  steady_clock::time_point Now() { return this->gateway.Queue().Now(); }

  ClientId Open(const std::string& key) {
    return this->gateway.Open("primary", SessionOrigin::kClient, key);
  }

  const ClientReply* ReplyTo(const RequestId& id) const {
    const auto found = this->gateway.Answers().find(id);
    return found == this->gateway.Answers().end() ? nullptr
                                                  : &found->second.reply;
  }

  bool Refused(const RequestId& id) const {
    const ClientReply* reply = this->ReplyTo(id);
    return reply != nullptr && reply->error == StatementError::kBusy;
  }

  SessionGateway gateway;
  bool control_answers = true;
  std::size_t requests = 0;

 private:
  void OnRequest(const PermitRequest& request) {
    ++this->requests;
    if (!this->control_answers) return;
    this->gateway.Queue().After(kControlWay, [this, request] {
      const auto grant =
          this->grantor.OnRequest(this->Now(), NodeId("proxy"), request);
      this->gateway.Decisions().OnPermits(this->Now(), *grant);
    });
  }

  PermitGrantor grantor;
};

class CustomerLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CustomerLimitsTest);
  CPPUNIT_TEST(FirstOperationWaitsForControlOnly);
  CPPUNIT_TEST(TransactionNeedsOnePermit);
  CPPUNIT_TEST(ExcessIsRefusedAtOnceAndRunsNothing);
  CPPUNIT_TEST(RefusalsNameLaterAndLaterTimes);
  CPPUNIT_TEST(ExcessOfOneCustomerDelaysNoOther);
  CPPUNIT_TEST(WithoutControlTheAnswerIsNo);
  CPPUNIT_TEST(HeldPermitsOutlastAGapOfControl);
  CPPUNIT_TEST(ClientThatLeavesTakesNoPermit);
  CPPUNIT_TEST(RemovedLimitLetsWaitingOperationsGo);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstOperationWaitsForControlOnly() {
    LimitFixture fixture;
    const ClientId client = fixture.Open("k1");
    const auto asked = fixture.Now();
    const RequestId write = fixture.gateway.Ask(client, "STORE 1 x");
    fixture.gateway.Run(milliseconds(300));
    CPPUNIT_ASSERT(!fixture.ReplyTo(write)->error);
    CPPUNIT_ASSERT(fixture.gateway.Answers().at(write).at - asked <=
                   kControlWay + milliseconds(40));
  }

  void TransactionNeedsOnePermit() {
    LimitFixture fixture;
    const ClientId client = fixture.Open("k1");
    CPPUNIT_ASSERT(!fixture.gateway.AskAndWait(client, "BEGIN").error);
    for (int i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT(!fixture.gateway.AskAndWait(client, "STORE 1 x").error);
    }
    CPPUNIT_ASSERT(!fixture.gateway.AskAndWait(client, "COMMIT").error);
    CPPUNIT_ASSERT(!fixture.gateway.AskAndWait(client, "STORE 2 y").error);
  }

  void ExcessIsRefusedAtOnceAndRunsNothing() {
    LimitFixture fixture;
    for (int i = 0; i < 12; ++i) {
      fixture.gateway.Ask(fixture.Open("k1"), "STORE 1 x");
    }
    fixture.gateway.Run(milliseconds(300));
    const auto asked = fixture.Now();
    const RequestId excess =
        fixture.gateway.Ask(fixture.Open("k1"), "STORE 9 z");
    CPPUNIT_ASSERT(fixture.Refused(excess));
    CPPUNIT_ASSERT(fixture.gateway.Answers().at(excess).at == asked);
    fixture.gateway.Run(milliseconds(3000));
    CPPUNIT_ASSERT(fixture.gateway.Members().Commits().count(excess) == 0);
    CPPUNIT_ASSERT(fixture.gateway.Members().Commits().size() <= 4);
  }

  void RefusalsNameLaterAndLaterTimes() {
    LimitFixture fixture;
    for (int i = 0; i < 12; ++i) {
      fixture.gateway.Ask(fixture.Open("k1"), "STORE 1 x");
    }
    fixture.gateway.Run(milliseconds(300));
    int earlier = 0;
    for (int i = 0; i < 3; ++i) {
      const RequestId excess =
          fixture.gateway.Ask(fixture.Open("k1"), "STORE 9 z");
      const std::string& text = fixture.ReplyTo(excess)->error_text;
      const std::size_t place = text.find("after ");
      CPPUNIT_ASSERT(place != std::string::npos);
      const int told = std::stoi(text.substr(place + 6));
      CPPUNIT_ASSERT(told > earlier);
      earlier = told;
    }
  }

  // One customer sends many times what it may, another a little.
  void ExcessOfOneCustomerDelaysNoOther() {
    LimitFixture fixture;
    const ClientId other = fixture.Open("m1");
    std::vector<RequestId> others;
    for (int i = 0; i < 50; ++i) {
      for (int j = 0; j < 8; ++j) {
        fixture.gateway.Ask(fixture.Open("k1"), "STORE 1 x");
      }
      const auto asked = fixture.Now();
      const RequestId write = fixture.gateway.Ask(other, "STORE 2 y");
      fixture.gateway.Run(milliseconds(60));
      CPPUNIT_ASSERT(!fixture.ReplyTo(write)->error);
      CPPUNIT_ASSERT(fixture.gateway.Answers().at(write).at - asked <=
                     milliseconds(50));
    }
    // It is served at its limit meanwhile.
    CPPUNIT_ASSERT(fixture.gateway.Members().Commits().size() >= 50 + 4);
  }

  void WithoutControlTheAnswerIsNo() {
    LimitFixture fixture;
    fixture.control_answers = false;
    const RequestId write =
        fixture.gateway.Ask(fixture.Open("k1"), "STORE 1 x");
    fixture.gateway.Run(milliseconds(1000));
    CPPUNIT_ASSERT(fixture.Refused(write));
    CPPUNIT_ASSERT(fixture.gateway.Members().Commits().empty());
    const auto asked = fixture.Now();
    const RequestId next = fixture.gateway.Ask(fixture.Open("k1"), "STORE 1 x");
    CPPUNIT_ASSERT(fixture.Refused(next));
    CPPUNIT_ASSERT(fixture.gateway.Answers().at(next).at == asked);
    fixture.control_answers = true;
    fixture.gateway.Run(milliseconds(700));
    CPPUNIT_ASSERT(
        !fixture.gateway.AskAndWait(fixture.Open("k1"), "STORE 1 x").error);
  }

  // Control has no leader for a second; the customer asks as always.
  void HeldPermitsOutlastAGapOfControl() {
    LimitFixture fixture;
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(
          !fixture.gateway.AskAndWait(fixture.Open("k1"), "STORE 1 x").error);
      fixture.gateway.Run(milliseconds(800));
    }
    fixture.control_answers = false;
    CPPUNIT_ASSERT(
        !fixture.gateway.AskAndWait(fixture.Open("k1"), "STORE 2 y").error);
  }

  void ClientThatLeavesTakesNoPermit() {
    LimitFixture fixture;
    fixture.control_answers = false;
    const ClientId client = fixture.Open("k1");
    fixture.gateway.Ask(client, "STORE 1 x");
    fixture.gateway.Decisions().OnClientGone(fixture.Now(), client);
    fixture.control_answers = true;
    fixture.gateway.Run(milliseconds(1000));
    CPPUNIT_ASSERT(fixture.gateway.Members().Commits().empty());
  }

  void RemovedLimitLetsWaitingOperationsGo() {
    LimitFixture fixture;
    fixture.control_answers = false;
    const RequestId write =
        fixture.gateway.Ask(fixture.Open("k1"), "STORE 1 x");
    auto& configuration = fixture.gateway.view.configuration;
    configuration.customers[0].limit.reset();
    ++configuration.version;
    fixture.gateway.Publish();
    fixture.gateway.Run(milliseconds(100));
    CPPUNIT_ASSERT(!fixture.ReplyTo(write)->error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerLimitsTest);

}  // namespace
}  // namespace lacewingferry
