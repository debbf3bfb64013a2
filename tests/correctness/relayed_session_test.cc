#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "bench/model/session_gateway.h"

namespace lacewingferry {
namespace {

using model::SessionGateway;
using std::chrono::milliseconds;

const std::vector<NodeId> kOwners = {NodeId("p1"), NodeId("p2"), NodeId("p3")};

/** A gateway that has its lease, and says who owns the group. */
struct Place {
  explicit Place(bool owner, const std::vector<NodeId>& owners = kOwners) {
    this->Deal(owner, owners);
    this->gateway.Lease(milliseconds(60000));
    this->gateway.Vouch();
    this->gateway.Run(milliseconds(50));
  }

  void Deal(bool owner, const std::vector<NodeId>& owners = kOwners) {
    for (auto& group : this->gateway.view.groups) {
      group.second.deal.owner = owner;
      group.second.deal.owners = owners;
    }
    this->gateway.Publish();
  }

  AdmissionVerdict Verdict(ClientId client) const {
    const auto found = this->gateway.Admissions().find(client);
    return found == this->gateway.Admissions().end()
               ? AdmissionVerdict::kStarting
               : found->second.verdict;
  }

  /** The connections to members that the gateway holds. */
  double Connections() {
    for (const Gauge& gauge :
         this->gateway.Decisions().Gauges(this->gateway.Queue().Now())) {
      if (gauge.name == "ferry_member_connections") return gauge.value;
    }
    return -1;
  }

  SessionGateway gateway;
};

// A fleet of more proxies than a member has connections: a few of each zone
// serve a group's sessions, the others relay theirs to them.
class RelayedSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayedSessionTest);
  CPPUNIT_TEST(OwnersTakeTurns);
  CPPUNIT_TEST(ARelayedSessionIsNotRelayedAgain);
  CPPUNIT_TEST(OpeningWaitsUntilAnOwnerIsKnown);
  CPPUNIT_TEST(OthersHoldNoConnections);
  CPPUNIT_TEST(SessionsFollowTheirGroupAtRest);
  CPPUNIT_TEST(AStoppingProxyEndsRelaysAtRest);
  CPPUNIT_TEST(ASessionThatWasJustOpenedIsNotEnded);
  CPPUNIT_TEST(WhoRelaysEndsSessionsOfAFormerOwner);
  CPPUNIT_TEST(AnOwnerEndsRelayedSessionsAfterAnswersOnly);
  CPPUNIT_TEST(AStoppingOwnerTakesNoRelays);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OwnersTakeTurns() {
    Place place(false);
    std::set<NodeId> first;
    for (int i = 0; i < 3; ++i) {
      const ClientId client = place.gateway.Open("primary");
      CPPUNIT_ASSERT(place.Verdict(client) == AdmissionVerdict::kRelayed);
      const auto& owners = place.gateway.Admissions().at(client).owners;
      CPPUNIT_ASSERT_EQUAL(kOwners.size(), owners.size());
      first.insert(owners.front());
    }
    CPPUNIT_ASSERT_EQUAL(kOwners.size(), first.size());
  }

  void ARelayedSessionIsNotRelayedAgain() {
    Place other(false);
    const ClientId passed =
        other.gateway.Open("primary", SessionOrigin::kProxy);
    CPPUNIT_ASSERT(other.Verdict(passed) == AdmissionVerdict::kNotServedHere);
    Place owner(true);
    const ClientId served =
        owner.gateway.Open("primary", SessionOrigin::kProxy);
    CPPUNIT_ASSERT(owner.Verdict(served) == AdmissionVerdict::kAccepted);
    CPPUNIT_ASSERT(!owner.gateway.AskAndWait(served, "STORE 1 x").error);
  }

  void OpeningWaitsUntilAnOwnerIsKnown() {
    Place place(false, {});
    const ClientId client = place.gateway.Open("primary");
    place.gateway.Run(milliseconds(300));
    CPPUNIT_ASSERT(place.gateway.Admissions().count(client) == 0);
    place.Deal(false);
    CPPUNIT_ASSERT(place.Verdict(client) == AdmissionVerdict::kRelayed);
  }

  void OthersHoldNoConnections() {
    Place place(true);
    place.gateway.Run(milliseconds(3000));
    CPPUNIT_ASSERT(place.Connections() > 0);
    place.Deal(false);
    place.gateway.Run(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(0.0, place.Connections());
  }

  void SessionsFollowTheirGroupAtRest() {
    Place place(true);
    const ClientId resting = place.gateway.Open("primary");
    const ClientId working = place.gateway.Open("primary");
    place.gateway.AskAndWait(resting, "LOOKUP 1");
    place.gateway.AskAndWait(working, "BEGIN");
    place.Deal(false);
    CPPUNIT_ASSERT(place.gateway.Closed(resting));
    CPPUNIT_ASSERT(!place.gateway.Closed(working));
    CPPUNIT_ASSERT(!place.gateway.AskAndWait(working, "STORE 1 x").error);
    CPPUNIT_ASSERT(!place.gateway.AskAndWait(working, "COMMIT").error);
    CPPUNIT_ASSERT(place.gateway.Closed(working));
  }

  void AStoppingProxyEndsRelaysAtRest() {
    Place place(false);
    std::vector<ClientId> clients(3);
    for (ClientId& client : clients) client = place.gateway.Open("primary");
    Gateway& gateway = place.gateway.Decisions();
    for (const ClientId client : clients) {
      gateway.OnRelayState(client,
                           {false, TransactionState::kIdle, kOwners[0]});
      gateway.OnRelayState(client, {true, TransactionState::kIdle, kOwners[0]});
    }
    gateway.OnRelayState(clients[0], {false, TransactionState::kIdle});
    gateway.OnRelayState(clients[1], {false, TransactionState::kOpen});
    gateway.OnRelayState(clients[2], {true, TransactionState::kIdle});
    gateway.StartDraining(place.gateway.Queue().Now());
    CPPUNIT_ASSERT(place.gateway.Closed(clients[0]));
    CPPUNIT_ASSERT(!place.gateway.Closed(clients[1]));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.SessionCount());
    gateway.OnRelayState(clients[2], {false, TransactionState::kIdle});
    CPPUNIT_ASSERT(place.gateway.Closed(clients[2]));
    gateway.EndTransactions(place.gateway.Queue().Now());
    CPPUNIT_ASSERT(place.gateway.Closed(clients[1]));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway.SessionCount());
  }

  // An owner took the session late, when the proxy stopped already: it was
  // ended with the answer to its opening, and the client's statement met its
  // end.
  void ASessionThatWasJustOpenedIsNotEnded() {
    Place place(false);
    const ClientId client = place.gateway.Open("primary");
    Gateway& gateway = place.gateway.Decisions();
    gateway.StartDraining(place.gateway.Queue().Now());
    gateway.OnRelayState(client, {false, TransactionState::kIdle});
    CPPUNIT_ASSERT(!place.gateway.Closed(client));
    gateway.OnRelayState(client, {true, TransactionState::kIdle});
    gateway.OnRelayState(client, {false, TransactionState::kIdle});
    CPPUNIT_ASSERT(place.gateway.Closed(client));
  }

  void WhoRelaysEndsSessionsOfAFormerOwner() {
    Place place(false);
    const ClientId resting = place.gateway.Open("primary");
    const ClientId waiting = place.gateway.Open("primary");
    const ClientId staying = place.gateway.Open("primary");
    Gateway& gateway = place.gateway.Decisions();
    const TransactionState idle = TransactionState::kIdle;
    for (const ClientId client : {resting, waiting, staying}) {
      const NodeId& owner = client == staying ? kOwners[1] : kOwners[0];
      gateway.OnRelayState(client, {true, idle, owner});
      gateway.OnRelayState(client, {client == waiting, idle, owner});
    }
    place.Deal(false, {});
    CPPUNIT_ASSERT(!place.gateway.Closed(resting));
    place.Deal(false, {kOwners[1], kOwners[2]});
    CPPUNIT_ASSERT(place.gateway.Closed(resting));
    CPPUNIT_ASSERT(!place.gateway.Closed(waiting));
    CPPUNIT_ASSERT(!place.gateway.Closed(staying));
  }

  // A busy owner that lost a group ended sessions whose statements lay unread
  // in its sockets.
  void AnOwnerEndsRelayedSessionsAfterAnswersOnly() {
    Place owner(true);
    const ClientId client =
        owner.gateway.Open("primary", SessionOrigin::kProxy);
    owner.gateway.AskAndWait(client, "LOOKUP 1");
    owner.Deal(false);
    CPPUNIT_ASSERT(!owner.gateway.Closed(client));
    owner.gateway.Decisions().StartDraining(owner.gateway.Queue().Now());
    CPPUNIT_ASSERT(!owner.gateway.Closed(client));
    owner.gateway.Ask(client, "LOOKUP 1");
    owner.gateway.Run(milliseconds(500));
    CPPUNIT_ASSERT(owner.gateway.Closed(client));
  }

  void AStoppingOwnerTakesNoRelays() {
    Place owner(true);
    owner.gateway.Decisions().StartDraining(owner.gateway.Queue().Now());
    const ClientId client =
        owner.gateway.Open("primary", SessionOrigin::kProxy);
    CPPUNIT_ASSERT(owner.Verdict(client) == AdmissionVerdict::kNotServedHere);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedSessionTest);

}  // namespace
}  // namespace lacewingferry
