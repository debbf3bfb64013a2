#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "bench/model/session_gateway.h"

namespace lacewingferry {
namespace {

using model::SessionGateway;
using std::chrono::milliseconds;

void Prepare(SessionGateway& gateway) {
  gateway.Publish();
  gateway.Lease(milliseconds(60000));
  gateway.Vouch();
  gateway.Run(milliseconds(50));
}

class GatewaySessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewaySessionTest);
  CPPUNIT_TEST(TransactionUsesOneConnection);
  CPPUNIT_TEST(StatementsUseTheirSessionsSettings);
  CPPUNIT_TEST(LostConnectionAbortsTransaction);
  CPPUNIT_TEST(IdleTransactionIsRolledBackAndReported);
  CPPUNIT_TEST(DisconnectRollsBackTransaction);
  CPPUNIT_TEST(FailedTransactionAcceptsOnlyCommitOrRollback);
  CPPUNIT_TEST(RemovedRouteIsRefusedAfterTransaction);
  CPPUNIT_TEST(OpeningWaitsForFirstConfiguration);
  CPPUNIT_TEST(DrainingClosesIdleSessions);
  CPPUNIT_TEST(DrainingRefusesPendingOpenings);
  CPPUNIT_TEST(PipelinedStatementsAreAnsweredInOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TransactionUsesOneConnection() {
    SessionGateway gateway;
    Prepare(gateway);
    std::vector<ClientId> clients(3);
    for (ClientId& client : clients) client = gateway.Open("primary");
    std::map<ClientId, std::set<LinkId>> links;
    std::map<RequestId, ClientId> owners;
    for (const char* text : {"BEGIN", "STORE 1 x", "LOOKUP 1", "COMMIT"}) {
      for (const ClientId client : clients) {
        owners[gateway.Ask(client, text)] = client;
      }
      gateway.Run(milliseconds(200));
    }
    for (const auto& run : gateway.Members().Runs()) {
      links[owners.at(run.id)].insert(run.link);
      CPPUNIT_ASSERT(run.in_transaction == (run.text != "BEGIN"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, links.size());
    for (const auto& item : links) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, item.second.size());
    }
  }

  void StatementsUseTheirSessionsSettings() {
    SessionGateway gateway;
    Prepare(gateway);
    const ClientId first = gateway.Open("primary");
    const ClientId second = gateway.Open("primary");
    gateway.AskAndWait(first, "SET language nl");
    gateway.AskAndWait(second, "SET zone 7");
    std::map<RequestId, std::string> expected;
    for (int i = 0; i < 10; ++i) {
      expected[gateway.Ask(first, "LOOKUP 1")] = "language";
      expected[gateway.Ask(second, "LOOKUP 1")] = "zone";
      gateway.Run(milliseconds(60));
    }
    for (const auto& run : gateway.Members().Runs()) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.values.size());
      CPPUNIT_ASSERT_EQUAL(expected.at(run.id), run.values.begin()->first);
    }
    CPPUNIT_ASSERT_EQUAL(expected.size(), gateway.Members().Runs().size());
  }

  void LostConnectionAbortsTransaction() {
    SessionGateway gateway;
    Prepare(gateway);
    const ClientId client = gateway.Open("primary");
    gateway.AskAndWait(client, "BEGIN");
    gateway.AskAndWait(client, "STORE 1 x");
    gateway.Members().Break(MemberId("m0"));
    const ClientReply reply = gateway.AskAndWait(client, "COMMIT");
    CPPUNIT_ASSERT(reply.error == StatementError::kAborted);
    CPPUNIT_ASSERT(reply.state == TransactionState::kIdle);
    CPPUNIT_ASSERT(gateway.Members().Commits().empty());
  }

  void IdleTransactionIsRolledBackAndReported() {
    SessionGateway gateway;
    Prepare(gateway);
    const ClientId client = gateway.Open("primary");
    gateway.AskAndWait(client, "BEGIN");
    gateway.Run(milliseconds(3500));
    const ClientReply reply = gateway.AskAndWait(client, "STORE 1 x");
    CPPUNIT_ASSERT(reply.error == StatementError::kAborted);
    CPPUNIT_ASSERT(reply.state == TransactionState::kFailed);
    CPPUNIT_ASSERT(!gateway.AskAndWait(client, "ROLLBACK").error);
    CPPUNIT_ASSERT(gateway.Members().Commits().empty());
  }

  void DisconnectRollsBackTransaction() {
    SessionGateway gateway;
    Prepare(gateway);
    const ClientId client = gateway.Open("primary");
    gateway.AskAndWait(client, "BEGIN");
    gateway.AskAndWait(client, "STORE 1 x");
    gateway.Decisions().OnClientGone(gateway.Queue().Now(), client);
    gateway.Run(milliseconds(100));
    const ClientId next = gateway.Open("primary");
    CPPUNIT_ASSERT(!gateway.AskAndWait(next, "LOOKUP 1").error);
    CPPUNIT_ASSERT(!gateway.Members().Runs().back().in_transaction);
    CPPUNIT_ASSERT(gateway.Members().Commits().empty());
  }

  void FailedTransactionAcceptsOnlyCommitOrRollback() {
    SessionGateway gateway;
    Prepare(gateway);
    const ClientId client = gateway.Open("primary");
    gateway.AskAndWait(client, "BEGIN");
    gateway.Members().Break(MemberId("m0"));
    CPPUNIT_ASSERT(gateway.AskAndWait(client, "LOOKUP 1").error ==
                   StatementError::kAborted);
    CPPUNIT_ASSERT(gateway.AskAndWait(client, "LOOKUP 1").error ==
                   StatementError::kMalformed);
    const ClientReply end = gateway.AskAndWait(client, "ROLLBACK");
    CPPUNIT_ASSERT(!end.error && end.state == TransactionState::kIdle);
  }

  void RemovedRouteIsRefusedAfterTransaction() {
    SessionGateway gateway;
    Prepare(gateway);
    const ClientId client = gateway.Open("primary");
    gateway.AskAndWait(client, "BEGIN");
    gateway.view.configuration.routes.clear();
    gateway.Publish();
    CPPUNIT_ASSERT(!gateway.AskAndWait(client, "LOOKUP 1").error);
    CPPUNIT_ASSERT(!gateway.AskAndWait(client, "COMMIT").error);
    CPPUNIT_ASSERT(gateway.AskAndWait(client, "LOOKUP 1").error ==
                   StatementError::kNoDatabase);
  }

  void OpeningWaitsForFirstConfiguration() {
    SessionGateway gateway;
    const ClientId early = gateway.Open("primary");
    const ClientId unknown_database = gateway.Open("nowhere");
    gateway.Run(milliseconds(500));
    CPPUNIT_ASSERT(!gateway.Closed(early));
    Prepare(gateway);
    CPPUNIT_ASSERT(gateway.Closed(unknown_database));
    CPPUNIT_ASSERT(!gateway.AskAndWait(early, "LOOKUP 1").error);
    SessionGateway unconfigured;
    const ClientId late = unconfigured.Open("primary");
    unconfigured.Run(milliseconds(1900));
    CPPUNIT_ASSERT(unconfigured.Closed(late));
  }

  void DrainingClosesIdleSessions() {
    SessionGateway gateway;
    Prepare(gateway);
    const ClientId idle = gateway.Open("primary");
    const ClientId open = gateway.Open("primary");
    gateway.AskAndWait(open, "BEGIN");
    gateway.Decisions().StartDraining(gateway.Queue().Now());
    CPPUNIT_ASSERT(gateway.Closed(idle));
    CPPUNIT_ASSERT(!gateway.Closed(open));
    CPPUNIT_ASSERT(!gateway.AskAndWait(open, "COMMIT").error);
    CPPUNIT_ASSERT(gateway.Closed(open));
  }

  // A proxy that stops before it has a configuration must refuse the waiting
  // session openings and count them until then. Otherwise it exits without
  // answering these clients.
  void DrainingRefusesPendingOpenings() {
    SessionGateway gateway;
    const ClientId waiting = gateway.Open("primary");
    gateway.Run(milliseconds(100));
    Gateway& decisions = gateway.Decisions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.SessionCount());
    decisions.StartDraining(gateway.Queue().Now());
    CPPUNIT_ASSERT(gateway.Closed(waiting));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decisions.SessionCount());
    CPPUNIT_ASSERT(gateway.Closed(gateway.Open("primary")));
  }

  void PipelinedStatementsAreAnsweredInOrder() {
    SessionGateway gateway;
    Prepare(gateway);
    const ClientId client = gateway.Open("primary");
    const RequestId first = gateway.Ask(client, "LOOKUP 1");
    const RequestId second = gateway.Ask(client, "LOOKUP 2");
    gateway.Run(milliseconds(200));
    CPPUNIT_ASSERT(gateway.Answers().at(first).reply.digest ==
                   "digest-" + first.Value());
    CPPUNIT_ASSERT(gateway.Answers().at(second).reply.digest ==
                   "digest-" + second.Value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySessionTest);

}  // namespace
}  // namespace lacewingferry
