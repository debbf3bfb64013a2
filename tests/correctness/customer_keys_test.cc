#include <cppunit/extensions/HelperMacros.h>

#include "bench/model/session_gateway.h"

namespace lacewingferry {
namespace {

using model::SessionGateway;
using std::chrono::milliseconds;

/** A proxy whose routes need a customer's key. */
struct KeyFixture {
  KeyFixture() {
    this->SetCustomers({Customer{CustomerId("kaan"), {"k1", "k2"}, 0, {}},
                        Customer{CustomerId("mila"), {"m1"}, 0, {}}});
    this->gateway.Lease(milliseconds(60000));
    this->gateway.Vouch();
  }

  void SetCustomers(std::vector<Customer> customers) {
    ++this->gateway.view.configuration.version;
    this->gateway.view.configuration.customers = std::move(customers);
    this->gateway.Publish();
  }

  void WithdrawKey() {
    this->SetCustomers({Customer{CustomerId("kaan"), {"k2"}, 0, {}},
                        Customer{CustomerId("mila"), {"m1"}, 0, {}}});
  }

  ClientId Open(const std::string& key,
                SessionOrigin origin = SessionOrigin::kClient) {
    return this->gateway.Open("primary", origin, key);
  }

  AdmissionResult ResultFor(ClientId client) const {
    return this->gateway.Admissions().at(client).result;
  }

  std::size_t CommitCount() { return this->gateway.Members().Commits().size(); }

  SessionGateway gateway;
};

class CustomerKeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CustomerKeysTest);
  CPPUNIT_TEST(UnknownKeyIsRefusedAtOnce);
  CPPUNIT_TEST(OpeningWaitsForTheFirstConfiguration);
  CPPUNIT_TEST(OpenRouteNeedsNoKey);
  CPPUNIT_TEST(WithoutCustomersNoKeyIsNeeded);
  CPPUNIT_TEST(WithdrawnKeyEndsIdleSessions);
  CPPUNIT_TEST(RunningStatementIsAnsweredBeforeTheSessionEnds);
  CPPUNIT_TEST(TransactionMayEndAfterItsKeyWasWithdrawn);
  CPPUNIT_TEST(OverdueTransactionIsRolledBack);
  CPPUNIT_TEST(RelayingProxyEndsSessionsOfAWithdrawnKey);
  CPPUNIT_TEST(OwnerRefusesStatementsOfAWithdrawnKey);
  CPPUNIT_TEST(KeyThatMovedToAnotherCustomerEndsSessions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnknownKeyIsRefusedAtOnce() {
    KeyFixture fixture;
    for (const char* key : {"", "k", "k11", "kaan"}) {
      CPPUNIT_ASSERT(fixture.ResultFor(fixture.Open(key)) ==
                     AdmissionResult::kUnknownKey);
    }
    const ClientId client = fixture.Open("k2");
    CPPUNIT_ASSERT(fixture.ResultFor(client) == AdmissionResult::kAccepted);
    CPPUNIT_ASSERT(!fixture.gateway.AskAndWait(client, "STORE 1 x").error);
    CPPUNIT_ASSERT_EQUAL(
        std::string("kaan"),
        fixture.gateway.Members().Runs().back().customer.Value());
  }

  // A key that isn't known yet may be in the configuration that is on its way.
  void OpeningWaitsForTheFirstConfiguration() {
    SessionGateway gateway;
    gateway.view.configuration.customers = {
        Customer{CustomerId("kaan"), {"k1"}, 0, {}}};
    const ClientId client =
        gateway.Open("primary", SessionOrigin::kClient, "k1");
    gateway.Run(milliseconds(100));
    CPPUNIT_ASSERT(gateway.Admissions().count(client) == 0);
    gateway.Publish();
    CPPUNIT_ASSERT(gateway.Admissions().at(client).result ==
                   AdmissionResult::kAccepted);
  }

  void OpenRouteNeedsNoKey() {
    KeyFixture fixture;
    fixture.gateway.view.configuration.routes[0].open_to_all = true;
    fixture.gateway.Publish();
    const ClientId client = fixture.Open("nobody's");
    CPPUNIT_ASSERT(fixture.ResultFor(client) == AdmissionResult::kAccepted);
    CPPUNIT_ASSERT(!fixture.gateway.AskAndWait(client, "STORE 1 x").error);
    CPPUNIT_ASSERT(fixture.gateway.Members().Runs().back().customer.Empty());
  }

  void WithoutCustomersNoKeyIsNeeded() {
    KeyFixture fixture;
    fixture.SetCustomers({});
    CPPUNIT_ASSERT(fixture.ResultFor(fixture.Open("any")) ==
                   AdmissionResult::kAccepted);
  }

  void WithdrawnKeyEndsIdleSessions() {
    KeyFixture fixture;
    const ClientId withdrawn = fixture.Open("k1");
    const ClientId other_key = fixture.Open("k2");
    const ClientId other = fixture.Open("m1");
    fixture.gateway.AskAndWait(withdrawn, "LOOKUP 1");
    fixture.WithdrawKey();
    CPPUNIT_ASSERT(fixture.gateway.Closed(withdrawn));
    CPPUNIT_ASSERT(!fixture.gateway.Closed(other_key));
    CPPUNIT_ASSERT(!fixture.gateway.Closed(other));
    CPPUNIT_ASSERT(fixture.ResultFor(fixture.Open("k1")) ==
                   AdmissionResult::kUnknownKey);
  }

  void RunningStatementIsAnsweredBeforeTheSessionEnds() {
    KeyFixture fixture;
    const ClientId client = fixture.Open("k1");
    const RequestId write = fixture.gateway.Ask(client, "STORE 1 x");
    const RequestId ahead = fixture.gateway.Ask(client, "STORE 2 y");
    fixture.WithdrawKey();
    CPPUNIT_ASSERT(!fixture.gateway.Closed(client));
    fixture.gateway.Run(milliseconds(500));
    CPPUNIT_ASSERT(!fixture.gateway.Answers().at(write).reply.error);
    CPPUNIT_ASSERT(fixture.gateway.Answers().at(ahead).reply.error ==
                   StatementError::kUnauthorized);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.CommitCount());
    CPPUNIT_ASSERT(fixture.gateway.Closed(client));
  }

  void TransactionMayEndAfterItsKeyWasWithdrawn() {
    KeyFixture fixture;
    const ClientId client = fixture.Open("k1");
    fixture.gateway.AskAndWait(client, "BEGIN");
    fixture.gateway.AskAndWait(client, "STORE 1 x");
    fixture.WithdrawKey();
    fixture.gateway.Run(milliseconds(500));
    CPPUNIT_ASSERT(!fixture.gateway.Closed(client));
    CPPUNIT_ASSERT(!fixture.gateway.AskAndWait(client, "COMMIT").error);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.CommitCount());
    CPPUNIT_ASSERT(fixture.gateway.Closed(client));
  }

  void OverdueTransactionIsRolledBack() {
    KeyFixture fixture;
    const ClientId direct = fixture.Open("k1");
    const ClientId relayed = fixture.Open("k1", SessionOrigin::kProxy);
    for (const ClientId client : {direct, relayed}) {
      fixture.gateway.AskAndWait(client, "BEGIN");
      fixture.gateway.AskAndWait(client, "STORE 1 x");
    }
    fixture.WithdrawKey();
    fixture.gateway.Run(milliseconds(2200));
    CPPUNIT_ASSERT(fixture.gateway.Closed(direct));
    // The relaying proxy may have sent a statement on, so it has to be
    // answered.
    CPPUNIT_ASSERT(!fixture.gateway.Closed(relayed));
    CPPUNIT_ASSERT(fixture.gateway.AskAndWait(relayed, "COMMIT").error ==
                   StatementError::kAborted);
    CPPUNIT_ASSERT(fixture.gateway.Closed(relayed));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.CommitCount());
  }

  void RelayingProxyEndsSessionsOfAWithdrawnKey() {
    KeyFixture fixture;
    const std::vector<NodeId> owners = {NodeId("p1")};
    auto& allocation = fixture.gateway.view.groups.begin()->second.allocation;
    allocation.owner = false;
    allocation.owners = owners;
    fixture.gateway.Publish();
    const ClientId idle = fixture.Open("k1");
    const ClientId waiting = fixture.Open("k1");
    const ClientId in_transaction = fixture.Open("k1");
    const ClientId other = fixture.Open("m1");
    Gateway& gateway = fixture.gateway.Decisions();
    for (const ClientId client : {idle, waiting, in_transaction, other}) {
      gateway.OnRelayState(client, {true, TransactionState::kIdle, owners[0]});
    }
    gateway.OnRelayState(idle, {false, TransactionState::kIdle, owners[0]});
    gateway.OnRelayState(other, {false, TransactionState::kIdle, owners[0]});
    gateway.OnRelayState(in_transaction,
                         {false, TransactionState::kOpen, owners[0]});
    fixture.WithdrawKey();
    CPPUNIT_ASSERT(fixture.gateway.Closed(idle));
    CPPUNIT_ASSERT(!fixture.gateway.Closed(waiting));
    CPPUNIT_ASSERT(!fixture.gateway.Closed(in_transaction));
    gateway.OnRelayState(waiting, {false, TransactionState::kIdle, owners[0]});
    fixture.gateway.Run(milliseconds(2500));
    CPPUNIT_ASSERT(fixture.gateway.Closed(waiting));
    CPPUNIT_ASSERT(fixture.gateway.Closed(in_transaction));
    CPPUNIT_ASSERT(!fixture.gateway.Closed(other));
  }

  // The relaying proxy is cut off from control and doesn't know of it.
  void OwnerRefusesStatementsOfAWithdrawnKey() {
    KeyFixture fixture;
    const ClientId relayed = fixture.Open("k1", SessionOrigin::kProxy);
    fixture.gateway.AskAndWait(relayed, "LOOKUP 1");
    fixture.WithdrawKey();
    CPPUNIT_ASSERT(!fixture.gateway.Closed(relayed));
    CPPUNIT_ASSERT(fixture.gateway.AskAndWait(relayed, "STORE 1 x").error ==
                   StatementError::kUnauthorized);
    CPPUNIT_ASSERT(fixture.gateway.Closed(relayed));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.CommitCount());
  }

  void KeyThatMovedToAnotherCustomerEndsSessions() {
    KeyFixture fixture;
    const ClientId client = fixture.Open("k1");
    fixture.SetCustomers({Customer{CustomerId("kaan"), {"k2"}, 0, {}},
                          Customer{CustomerId("mila"), {"m1", "k1"}, 0, {}}});
    CPPUNIT_ASSERT(fixture.gateway.Closed(client));
    const ClientId again = fixture.Open("k1");
    fixture.gateway.AskAndWait(again, "LOOKUP 1");
    CPPUNIT_ASSERT_EQUAL(
        std::string("mila"),
        fixture.gateway.Members().Runs().back().customer.Value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerKeysTest);

}  // namespace
}  // namespace lacewingferry
