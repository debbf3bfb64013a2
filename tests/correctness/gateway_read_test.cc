#include <cppunit/extensions/HelperMacros.h>

#include "bench/model/session_gateway.h"

namespace lacewingferry {
namespace {

using model::SessionGateway;
using std::chrono::milliseconds;

const MemberId kPrimary{"m0"};
const MemberId kReplica{"m1"};

MemberId ServerOf(SessionGateway& gateway, const RequestId& id) {
  for (const model::SessionRun& run : gateway.Members().Runs()) {
    if (run.id == id) return run.member;
  }
  return MemberId();
}

class GatewayReadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayReadTest);
  CPPUNIT_TEST(PrimaryReadIsRefusedWithoutLease);
  CPPUNIT_TEST(PrimaryReadRunsAtThePrimaryOnly);
  CPPUNIT_TEST(BoundedReadAvoidsBusyPrimary);
  CPPUNIT_TEST(SessionReadsItsOwnWrite);
  CPPUNIT_TEST(LaggingReplicaIsSkipped);
  CPPUNIT_TEST(OutdatedPositionIsNotUsed);
  CPPUNIT_TEST(RolledBackPositionIsNotWaitedFor);
  CPPUNIT_TEST(DeadMemberInSameZoneIsNotWaitedFor);
  CPPUNIT_TEST(UnansweredReadIsSentToAnotherMember);
  CPPUNIT_TEST(ReadIsRetriedAfterLostConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PrimaryReadIsRefusedWithoutLease() {
    SessionGateway gateway;
    gateway.Publish();
    const ClientId client = gateway.Open("primary");
    const ClientReply reply = gateway.AskAndWait(client, "LOOKUP 1");
    CPPUNIT_ASSERT(reply.error == StatementError::kBusy);
    CPPUNIT_ASSERT(gateway.Members().Runs().empty());
  }

  void PrimaryReadRunsAtThePrimaryOnly() {
    SessionGateway gateway;
    gateway.Publish();
    gateway.Lease(milliseconds(5000));
    gateway.Vouch();
    const ClientId client = gateway.Open("primary");
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(!gateway.AskAndWait(client, "LOOKUP 1").error);
    }
    for (const auto& run : gateway.Members().Runs()) {
      CPPUNIT_ASSERT(run.member == kPrimary);
    }
  }

  void BoundedReadAvoidsBusyPrimary() {
    SessionGateway gateway;
    gateway.Members().Traits(kPrimary).work = milliseconds(200);
    gateway.Publish();
    gateway.Lease(milliseconds(5000));
    gateway.Vouch();
    gateway.Run(milliseconds(100));
    std::vector<ClientId> clients(12);
    for (ClientId& client : clients) client = gateway.Open("bounded");
    for (const ClientId client : clients) gateway.Ask(client, "LOOKUP 1");
    gateway.Run(milliseconds(400));
    std::size_t elsewhere = 0;
    for (const auto& run : gateway.Members().Runs()) {
      elsewhere += run.member != kPrimary;
    }
    CPPUNIT_ASSERT(elsewhere >= 6);
  }

  void SessionReadsItsOwnWrite() {
    SessionGateway gateway;
    gateway.Members().Traits(kReplica).lag = milliseconds(300);
    gateway.Members().Traits(MemberId("m2")).lag = milliseconds(300);
    gateway.Publish();
    gateway.Lease(milliseconds(60000));
    const ClientId client = gateway.Open("session");
    for (int i = 0; i < 30; ++i) {
      gateway.Vouch();
      const RequestId write = gateway.Ask(client, "STORE 1 x");
      gateway.Run(milliseconds(60));
      const RequestId read = gateway.Ask(client, "LOOKUP 1");
      gateway.Run(milliseconds(60));
      const LogPosition committed = gateway.Members().Commits().at(write);
      for (const auto& run : gateway.Members().Runs()) {
        if (run.id == read) CPPUNIT_ASSERT(run.position >= committed);
      }
      CPPUNIT_ASSERT(!gateway.Answers().at(read).reply.error);
    }
  }

  void LaggingReplicaIsSkipped() {
    SessionGateway gateway;
    for (const char* id : {"m1", "m2"}) {
      gateway.Members().Traits(MemberId(id)).lag = milliseconds(60000);
    }
    gateway.Publish();
    gateway.Lease(milliseconds(60000));
    gateway.Run(milliseconds(50));
    const ClientId writer = gateway.Open("primary");
    CPPUNIT_ASSERT(!gateway.AskAndWait(writer, "STORE 1 x").error);
    gateway.Run(milliseconds(1600));
    gateway.Vouch();
    gateway.Run(milliseconds(1600));
    gateway.Vouch();
    const ClientId reader = gateway.Open("bounded");
    const RequestId read = gateway.Ask(reader, "LOOKUP 1");
    gateway.Run(milliseconds(300));
    CPPUNIT_ASSERT(!gateway.Answers().at(read).reply.error);
    CPPUNIT_ASSERT(ServerOf(gateway, read) == kPrimary);
  }

  void OutdatedPositionIsNotUsed() {
    SessionGateway gateway;
    gateway.Publish();
    gateway.Vouch();
    gateway.Run(milliseconds(1600));
    const ClientId client = gateway.Open("bounded");
    const RequestId bounded = gateway.Ask(client, "LOOKUP 1");
    // The longer staleness limit of the "session" route is still met.
    const ClientId session = gateway.Open("session");
    CPPUNIT_ASSERT(!gateway.AskAndWait(session, "LOOKUP 1").error);
    gateway.Run(milliseconds(1000));
    const ClientReply reply = gateway.Answers().at(bounded).reply;
    CPPUNIT_ASSERT(reply.error == StatementError::kBusy);
    CPPUNIT_ASSERT(ServerOf(gateway, bounded).Empty());
  }

  // A dead member in the proxy's zone must not delay reads that a farther
  // member can serve. This failed when connections began to be opened one at a
  // time.
  void DeadMemberInSameZoneIsNotWaitedFor() {
    SessionGateway gateway;
    gateway.Publish();
    gateway.Vouch();
    gateway.Run(milliseconds(3500));
    gateway.Vouch();
    gateway.Members().Kill(kPrimary);
    gateway.Run(milliseconds(20));
    const ClientId client = gateway.Open("bounded");
    const auto asked = gateway.Queue().Now();
    const RequestId read = gateway.Ask(client, "LOOKUP 1");
    gateway.Run(milliseconds(300));
    CPPUNIT_ASSERT(!gateway.Answers().at(read).reply.error);
    CPPUNIT_ASSERT(gateway.Answers().at(read).at - asked < milliseconds(60));
  }

  // After a failover the position of a session may have been rolled back,
  // because only the former primary had it. The session's reads must not wait
  // for that position.
  void RolledBackPositionIsNotWaitedFor() {
    SessionGateway gateway;
    gateway.Members().Traits(kReplica).lag = milliseconds(60000);
    gateway.Members().Traits(MemberId("m2")).lag = milliseconds(60000);
    gateway.Publish();
    gateway.Lease(milliseconds(60000));
    const ClientId client = gateway.Open("session");
    CPPUNIT_ASSERT(!gateway.AskAndWait(client, "STORE 1 x").error);
    gateway.Members().Kill(kPrimary);
    gateway.BeginTerm();
    gateway.Promote(kReplica);
    gateway.Lease(milliseconds(60000));
    gateway.Vouch();
    gateway.Run(milliseconds(100));
    CPPUNIT_ASSERT(!gateway.AskAndWait(client, "LOOKUP 1").error);
  }

  void UnansweredReadIsSentToAnotherMember() {
    SessionGateway gateway;
    gateway.Publish();
    gateway.Lease(milliseconds(60000));
    gateway.Vouch();
    gateway.Run(milliseconds(100));
    gateway.Members().Traits(kPrimary).loses_answers = true;
    const ClientId client = gateway.Open("bounded");
    const auto asked = gateway.Queue().Now();
    const RequestId read = gateway.Ask(client, "LOOKUP 1");
    gateway.Run(milliseconds(900));
    const auto& answer = gateway.Answers().at(read);
    CPPUNIT_ASSERT(!answer.reply.error);
    CPPUNIT_ASSERT(answer.at - asked < milliseconds(400));
  }

  void ReadIsRetriedAfterLostConnection() {
    SessionGateway gateway;
    gateway.Members().Traits(kPrimary).work = milliseconds(50);
    gateway.Publish();
    gateway.Lease(milliseconds(60000));
    gateway.Vouch();
    gateway.Run(milliseconds(100));
    const ClientId client = gateway.Open("bounded");
    const RequestId read = gateway.Ask(client, "LOOKUP 1");
    gateway.Run(milliseconds(10));
    gateway.Members().Break(kPrimary);
    gateway.Run(milliseconds(300));
    CPPUNIT_ASSERT(!gateway.Answers().at(read).reply.error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayReadTest);

}  // namespace
}  // namespace lacewingferry
