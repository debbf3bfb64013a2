#include <cppunit/extensions/HelperMacros.h>

#include "bench/model/session_gateway.h"

namespace lacewingferry {
namespace {

using model::SessionGateway;
using std::chrono::milliseconds;

const MemberId kPrimary{"m0"};

/** Gives the gateway open connections and a long lease. */
void Prepare(SessionGateway& gateway) {
  gateway.Publish();
  gateway.Lease(milliseconds(60000));
  gateway.Vouch();
  gateway.Run(milliseconds(50));
}

class GatewayWriteTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayWriteTest);
  CPPUNIT_TEST(WriteIsRefusedWithoutLease);
  CPPUNIT_TEST(AnswerAfterLeaseExpiryIsUnknown);
  CPPUNIT_TEST(LostConnectionLeavesWriteUnknown);
  CPPUNIT_TEST(UnansweredWriteIsNotAcknowledged);
  CPPUNIT_TEST(WriteIsRetriedOnBusyPrimary);
  CPPUNIT_TEST(RecallWaitsForWritesInFlight);
  CPPUNIT_TEST(RecallEndsAfterGracePeriod);
  CPPUNIT_TEST(CommitAfterRecallIsNotSent);
  CPPUNIT_TEST(LeaseOnLaterTermDoesNotCoverEarlierWrite);
  CPPUNIT_TEST(WriteWaitsForNewPrimary);
  CPPUNIT_TEST(WriteIsRefusedAtOnceAfterLeaseExpiry);
  CPPUNIT_TEST(WriteWaitsForFirstLease);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WriteIsRefusedWithoutLease() {
    SessionGateway gateway;
    gateway.Publish();
    gateway.Run(milliseconds(50));
    const ClientId client = gateway.Open("primary");
    const ClientReply reply = gateway.AskAndWait(client, "STORE 1 x");
    CPPUNIT_ASSERT(reply.error == StatementError::kBusy);
    CPPUNIT_ASSERT(gateway.Members().Commits().empty());
  }

  void AnswerAfterLeaseExpiryIsUnknown() {
    SessionGateway gateway;
    Prepare(gateway);
    gateway.Members().Traits(kPrimary).work = milliseconds(80);
    gateway.Lease(milliseconds(40));
    const ClientId client = gateway.Open("primary");
    const ClientReply reply = gateway.AskAndWait(client, "STORE 1 x");
    CPPUNIT_ASSERT(reply.error == StatementError::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.Members().Commits().size());
  }

  void LostConnectionLeavesWriteUnknown() {
    SessionGateway gateway;
    Prepare(gateway);
    gateway.Members().Traits(kPrimary).work = milliseconds(80);
    const ClientId client = gateway.Open("primary");
    const RequestId write = gateway.Ask(client, "STORE 1 x");
    gateway.Run(milliseconds(20));
    gateway.Members().Break(kPrimary);
    gateway.Run(milliseconds(300));
    const ClientReply reply = gateway.Answers().at(write).reply;
    CPPUNIT_ASSERT(reply.error == StatementError::kUnknown);
  }

  void UnansweredWriteIsNotAcknowledged() {
    SessionGateway gateway;
    Prepare(gateway);
    gateway.Members().Traits(kPrimary).loses_answers = true;
    const ClientId client = gateway.Open("primary");
    const ClientReply reply = gateway.AskAndWait(client, "STORE 1 x");
    CPPUNIT_ASSERT(reply.error == StatementError::kTimeout ||
                   reply.error == StatementError::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.Members().Commits().size());
  }

  void WriteIsRetriedOnBusyPrimary() {
    SessionGateway gateway;
    Prepare(gateway);
    auto& traits = gateway.Members().Traits(kPrimary);
    traits.slots = 1;
    traits.queue = 0;
    traits.work = milliseconds(30);
    const ClientId first = gateway.Open("primary");
    const ClientId second = gateway.Open("primary");
    const RequestId a = gateway.Ask(first, "STORE 1 x");
    const RequestId b = gateway.Ask(second, "STORE 2 y");
    gateway.Run(milliseconds(300));
    CPPUNIT_ASSERT(!gateway.Answers().at(a).reply.error);
    CPPUNIT_ASSERT(!gateway.Answers().at(b).reply.error);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.Members().Commits().size());
  }

  void RecallWaitsForWritesInFlight() {
    SessionGateway gateway;
    Prepare(gateway);
    gateway.Members().Traits(kPrimary).work = milliseconds(80);
    const ClientId client = gateway.Open("primary");
    const RequestId write = gateway.Ask(client, "STORE 1 x");
    gateway.Run(milliseconds(10));
    gateway.Decisions().Recall(gateway.Queue().Now(), DatabaseId("db"), 2,
                               milliseconds(400));
    CPPUNIT_ASSERT(gateway.Recalls().empty());
    gateway.Run(milliseconds(200));
    CPPUNIT_ASSERT(!gateway.Answers().at(write).reply.error);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.Recalls().size());
    CPPUNIT_ASSERT(gateway.Recalls()[0].acknowledged ==
                   gateway.Members().Commits().at(write));
  }

  void RecallEndsAfterGracePeriod() {
    SessionGateway gateway;
    Prepare(gateway);
    gateway.Members().Traits(kPrimary).work = milliseconds(300);
    const ClientId client = gateway.Open("primary");
    const RequestId write = gateway.Ask(client, "STORE 1 x");
    gateway.Run(milliseconds(10));
    const auto asked = gateway.Queue().Now();
    gateway.Decisions().Recall(asked, DatabaseId("db"), 2, milliseconds(50));
    gateway.Run(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.Recalls().size());
    CPPUNIT_ASSERT(gateway.Recalls()[0].at - asked <= milliseconds(60));
    CPPUNIT_ASSERT(gateway.Answers().at(write).reply.error ==
                   StatementError::kUnknown);
  }

  void CommitAfterRecallIsNotSent() {
    SessionGateway gateway;
    Prepare(gateway);
    const ClientId client = gateway.Open("primary");
    CPPUNIT_ASSERT(!gateway.AskAndWait(client, "BEGIN").error);
    CPPUNIT_ASSERT(!gateway.AskAndWait(client, "STORE 1 x").error);
    gateway.Decisions().Recall(gateway.Queue().Now(), DatabaseId("db"), 2,
                               milliseconds(50));
    const ClientReply reply = gateway.AskAndWait(client, "COMMIT");
    CPPUNIT_ASSERT(reply.error == StatementError::kAborted);
    CPPUNIT_ASSERT(gateway.Members().Commits().empty());
  }

  void LeaseOnLaterTermDoesNotCoverEarlierWrite() {
    SessionGateway gateway;
    Prepare(gateway);
    // The write runs after 100 ms and its answer takes 100 ms more.
    gateway.Members().Traits(kPrimary).way = milliseconds(200);
    const ClientId client = gateway.Open("primary");
    const RequestId write = gateway.Ask(client, "STORE 1 x");
    gateway.Run(milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.Members().Commits().size());
    gateway.Decisions().Recall(gateway.Queue().Now(), DatabaseId("db"), 2,
                               milliseconds(0));
    gateway.BeginTerm();
    gateway.Promote(MemberId("m1"));
    gateway.Lease(milliseconds(60000));
    gateway.Run(milliseconds(400));
    CPPUNIT_ASSERT(gateway.Answers().at(write).reply.error ==
                   StatementError::kUnknown);
  }

  void WriteWaitsForNewPrimary() {
    SessionGateway gateway;
    Prepare(gateway);
    gateway.Members().Kill(kPrimary);
    gateway.BeginTerm();
    const ClientId client = gateway.Open("primary");
    const RequestId write = gateway.Ask(client, "STORE 1 x");
    gateway.Run(milliseconds(250));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway.Answers().count(write));
    gateway.Promote(MemberId("m2"));
    gateway.Lease(milliseconds(60000));
    gateway.Run(milliseconds(100));
    CPPUNIT_ASSERT(!gateway.Answers().at(write).reply.error);
  }

  // Incident inc-864e of standpijp-hosting: proxies without contact to control
  // kept each write until its deadline, while other proxies could have served
  // it.
  void WriteIsRefusedAtOnceAfterLeaseExpiry() {
    SessionGateway gateway;
    Prepare(gateway);
    gateway.Lease(milliseconds(100));
    gateway.Run(milliseconds(200));
    const ClientId client = gateway.Open("primary");
    const RequestId write = gateway.Ask(client, "STORE 1 x");
    gateway.Run(milliseconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.Answers().count(write));
    CPPUNIT_ASSERT(gateway.Answers().at(write).reply.error ==
                   StatementError::kBusy);
    CPPUNIT_ASSERT(gateway.Closed(client));
    // Reads with a staleness limit continue while a position is recent enough.
    const ClientId reader = gateway.Open("bounded");
    CPPUNIT_ASSERT(!gateway.AskAndWait(reader, "LOOKUP 1").error);
  }

  // Before control has adopted a group there is no lease yet. This must not be
  // mistaken for an expired lease, or early writes are refused.
  void WriteWaitsForFirstLease() {
    SessionGateway gateway;
    DatabaseTerm& term = gateway.view.groups.at(DatabaseId("db")).term;
    const DatabaseTerm adopted = term;
    term = DatabaseTerm();
    gateway.Publish();
    const ClientId client = gateway.Open("primary");
    const RequestId write = gateway.Ask(client, "STORE 1 x");
    gateway.Run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway.Answers().count(write));
    term = adopted;
    Prepare(gateway);
    CPPUNIT_ASSERT(!gateway.Answers().at(write).reply.error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayWriteTest);

}  // namespace
}  // namespace lacewingferry
