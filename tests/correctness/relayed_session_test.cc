#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "bench/model/session_gateway.h"

namespace lacewingferry {
namespace {

using model::SessionGateway;
using std::chrono::milliseconds;

const std::vector<NodeId> kOwners = {NodeId("p1"), NodeId("p2"), NodeId("p3")};

/** A gateway with a lease, and with a given ownership of the group. */
struct RelayFixture {
  explicit RelayFixture(bool owner,
                        const std::vector<NodeId>& owners = kOwners) {
    this->SetOwners(owner, owners);
    this->gateway.Lease(milliseconds(60000));
    this->gateway.Vouch();
    this->gateway.Run(milliseconds(50));
  }

  void SetOwners(bool owner, const std::vector<NodeId>& owners = kOwners) {
    for (auto& group : this->gateway.view.groups) {
      group.second.allocation.owner = owner;
      group.second.allocation.owners = owners;
    }
    this->gateway.Publish();
  }

  AdmissionResult ResultFor(ClientId client) const {
    const auto found = this->gateway.Admissions().find(client);
    return found == this->gateway.Admissions().end()
               ? AdmissionResult::kStarting
               : found->second.result;
  }

  /** The connections to members that the gateway holds. */
  double OpenConnectionCount() {
    for (const Gauge& gauge :
         this->gateway.Decisions().Gauges(this->gateway.Queue().Now())) {
      if (gauge.name == "ferry_member_connections") return gauge.value;
    }
    return -1;
  }

  SessionGateway gateway;
};

// In a fleet with more proxies than a member has connections, a few proxies of
// each zone own a group and serve its sessions. The others relay their sessions
// to the owners.
class RelayedSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayedSessionTest);
  CPPUNIT_TEST(SessionsAreSpreadOverOwners);
  CPPUNIT_TEST(RelayedSessionIsNotRelayedAgain);
  CPPUNIT_TEST(OpeningWaitsUntilAnOwnerIsKnown);
  CPPUNIT_TEST(OwnerDoesNotRefuseByAnOlderConfiguration);
  CPPUNIT_TEST(RelayedOpeningNamesItsConfiguration);
  CPPUNIT_TEST(NonOwnerClosesConnections);
  CPPUNIT_TEST(SessionsAreClosedWhenIdleAfterGroupMoved);
  CPPUNIT_TEST(StoppingProxyClosesIdleRelayedSessions);
  CPPUNIT_TEST(JustOpenedSessionIsNotClosed);
  CPPUNIT_TEST(RelayingProxyClosesSessionsOfFormerOwner);
  CPPUNIT_TEST(OwnerClosesRelayedSessionsOnlyAfterAnswer);
  CPPUNIT_TEST(StoppingOwnerRefusesRelayedSessions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SessionsAreSpreadOverOwners() {
    RelayFixture fixture(false);
    std::set<NodeId> first;
    for (int i = 0; i < 3; ++i) {
      const ClientId client = fixture.gateway.Open("primary");
      CPPUNIT_ASSERT(fixture.ResultFor(client) == AdmissionResult::kRelayed);
      const auto& owners = fixture.gateway.Admissions().at(client).owners;
      CPPUNIT_ASSERT_EQUAL(kOwners.size(), owners.size());
      first.insert(owners.front());
    }
    CPPUNIT_ASSERT_EQUAL(kOwners.size(), first.size());
  }

  void RelayedSessionIsNotRelayedAgain() {
    RelayFixture other(false);
    const ClientId relayed =
        other.gateway.Open("primary", SessionOrigin::kProxy);
    CPPUNIT_ASSERT(other.ResultFor(relayed) == AdmissionResult::kNotServedHere);
    RelayFixture owner(true);
    const ClientId served =
        owner.gateway.Open("primary", SessionOrigin::kProxy);
    CPPUNIT_ASSERT(owner.ResultFor(served) == AdmissionResult::kAccepted);
    CPPUNIT_ASSERT(!owner.gateway.AskAndWait(served, "STORE 1 x").error);
  }

  void OpeningWaitsUntilAnOwnerIsKnown() {
    RelayFixture fixture(false, {});
    const ClientId client = fixture.gateway.Open("primary");
    fixture.gateway.Run(milliseconds(300));
    CPPUNIT_ASSERT(fixture.gateway.Admissions().count(client) == 0);
    fixture.SetOwners(false);
    CPPUNIT_ASSERT(fixture.ResultFor(client) == AdmissionResult::kRelayed);
  }

  // A route was added. The relaying proxy has it already and served a client by
  // it; an owner that hasn't yet must not tell the next client that it doesn't
  // exist.
  void OwnerDoesNotRefuseByAnOlderConfiguration() {
    RelayFixture owner(true);
    Gateway& gateway = owner.gateway.Decisions();
    std::vector<AdmissionResult> results;
    const auto note = [&results](const Admission& admission) {
      results.push_back(admission.result);
    };
    const std::uint64_t version = owner.gateway.view.configuration.version + 1;
    gateway.Open(owner.gateway.Queue().Now(),
                 {901, "added", SessionOrigin::kProxy, "", version}, note);
    gateway.Open(owner.gateway.Queue().Now(),
                 {902, "never", SessionOrigin::kProxy, "", version}, note);
    owner.gateway.Run(milliseconds(300));
    CPPUNIT_ASSERT(results.empty());
    ServiceConfiguration& configuration = owner.gateway.view.configuration;
    configuration.version = version;
    configuration.routes.push_back(configuration.routes.front());
    configuration.routes.back().host = "added";
    owner.gateway.Publish();
    CPPUNIT_ASSERT((
        results == std::vector<AdmissionResult>{AdmissionResult::kAccepted,
                                                AdmissionResult::kNoDatabase}));
  }

  void RelayedOpeningNamesItsConfiguration() {
    RelayFixture fixture(false);
    const ClientId client = fixture.gateway.Open("primary");
    CPPUNIT_ASSERT_EQUAL(
        fixture.gateway.view.configuration.version,
        fixture.gateway.Admissions().at(client).configuration_version);
  }

  void NonOwnerClosesConnections() {
    RelayFixture fixture(true);
    fixture.gateway.Run(milliseconds(3000));
    CPPUNIT_ASSERT(fixture.OpenConnectionCount() > 0);
    fixture.SetOwners(false);
    fixture.gateway.Run(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(0.0, fixture.OpenConnectionCount());
  }

  void SessionsAreClosedWhenIdleAfterGroupMoved() {
    RelayFixture fixture(true);
    const ClientId idle_client = fixture.gateway.Open("primary");
    const ClientId in_transaction = fixture.gateway.Open("primary");
    fixture.gateway.AskAndWait(idle_client, "LOOKUP 1");
    fixture.gateway.AskAndWait(in_transaction, "BEGIN");
    fixture.SetOwners(false);
    CPPUNIT_ASSERT(fixture.gateway.Closed(idle_client));
    CPPUNIT_ASSERT(!fixture.gateway.Closed(in_transaction));
    CPPUNIT_ASSERT(
        !fixture.gateway.AskAndWait(in_transaction, "STORE 1 x").error);
    CPPUNIT_ASSERT(!fixture.gateway.AskAndWait(in_transaction, "COMMIT").error);
    CPPUNIT_ASSERT(fixture.gateway.Closed(in_transaction));
  }

  void StoppingProxyClosesIdleRelayedSessions() {
    RelayFixture fixture(false);
    std::vector<ClientId> clients(3);
    for (ClientId& client : clients) client = fixture.gateway.Open("primary");
    Gateway& gateway = fixture.gateway.Decisions();
    for (const ClientId client : clients) {
      gateway.OnRelayState(client,
                           {false, TransactionState::kIdle, kOwners[0]});
      gateway.OnRelayState(client, {true, TransactionState::kIdle, kOwners[0]});
    }
    gateway.OnRelayState(clients[0], {false, TransactionState::kIdle});
    gateway.OnRelayState(clients[1], {false, TransactionState::kOpen});
    gateway.OnRelayState(clients[2], {true, TransactionState::kIdle});
    gateway.StartDraining(fixture.gateway.Queue().Now());
    CPPUNIT_ASSERT(fixture.gateway.Closed(clients[0]));
    CPPUNIT_ASSERT(!fixture.gateway.Closed(clients[1]));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.SessionCount());
    gateway.OnRelayState(clients[2], {false, TransactionState::kIdle});
    CPPUNIT_ASSERT(fixture.gateway.Closed(clients[2]));
    gateway.EndTransactions(fixture.gateway.Queue().Now());
    CPPUNIT_ASSERT(fixture.gateway.Closed(clients[1]));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway.SessionCount());
  }

  // An owner may accept a session only after the relaying proxy has begun to
  // stop. If the session were closed with the answer to its opening, the
  // client's first statement would find a closed connection.
  void JustOpenedSessionIsNotClosed() {
    RelayFixture fixture(false);
    const ClientId client = fixture.gateway.Open("primary");
    Gateway& gateway = fixture.gateway.Decisions();
    gateway.StartDraining(fixture.gateway.Queue().Now());
    gateway.OnRelayState(client, {false, TransactionState::kIdle});
    CPPUNIT_ASSERT(!fixture.gateway.Closed(client));
    gateway.OnRelayState(client, {true, TransactionState::kIdle});
    gateway.OnRelayState(client, {false, TransactionState::kIdle});
    CPPUNIT_ASSERT(fixture.gateway.Closed(client));
  }

  void RelayingProxyClosesSessionsOfFormerOwner() {
    RelayFixture fixture(false);
    const ClientId idle_client = fixture.gateway.Open("primary");
    const ClientId waiting = fixture.gateway.Open("primary");
    const ClientId staying = fixture.gateway.Open("primary");
    Gateway& gateway = fixture.gateway.Decisions();
    const TransactionState idle = TransactionState::kIdle;
    for (const ClientId client : {idle_client, waiting, staying}) {
      const NodeId& owner = client == staying ? kOwners[1] : kOwners[0];
      gateway.OnRelayState(client, {true, idle, owner});
      gateway.OnRelayState(client, {client == waiting, idle, owner});
    }
    fixture.SetOwners(false, {});
    CPPUNIT_ASSERT(!fixture.gateway.Closed(idle_client));
    fixture.SetOwners(false, {kOwners[1], kOwners[2]});
    CPPUNIT_ASSERT(fixture.gateway.Closed(idle_client));
    CPPUNIT_ASSERT(!fixture.gateway.Closed(waiting));
    CPPUNIT_ASSERT(!fixture.gateway.Closed(staying));
  }

  // An owner that loses a group must not close an idle relayed session: a
  // statement may lie unread in its socket and would be lost.
  void OwnerClosesRelayedSessionsOnlyAfterAnswer() {
    RelayFixture owner(true);
    const ClientId client =
        owner.gateway.Open("primary", SessionOrigin::kProxy);
    owner.gateway.AskAndWait(client, "LOOKUP 1");
    owner.SetOwners(false);
    CPPUNIT_ASSERT(!owner.gateway.Closed(client));
    owner.gateway.Decisions().StartDraining(owner.gateway.Queue().Now());
    CPPUNIT_ASSERT(!owner.gateway.Closed(client));
    owner.gateway.Ask(client, "LOOKUP 1");
    owner.gateway.Run(milliseconds(500));
    CPPUNIT_ASSERT(owner.gateway.Closed(client));
  }

  void StoppingOwnerRefusesRelayedSessions() {
    RelayFixture owner(true);
    owner.gateway.Decisions().StartDraining(owner.gateway.Queue().Now());
    const ClientId client =
        owner.gateway.Open("primary", SessionOrigin::kProxy);
    CPPUNIT_ASSERT(owner.ResultFor(client) == AdmissionResult::kNotServedHere);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedSessionTest);

}  // namespace
}  // namespace lacewingferry
