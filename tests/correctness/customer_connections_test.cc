#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench/model/session_gateway.h"

namespace lacewingferry {
namespace {

using model::SessionGateway;
using std::chrono::milliseconds;

const MemberId kPrimary{"m0"};
const char* const kMembers[] = {"m0", "m1", "m2"};

/** Half of a route's objective in the model: what a caller should wait for at
 * most, also when its connection has to be opened first. */
constexpr milliseconds kMostWait{200};

/** A proxy whose sessions act for customers, with a few connections to each
 * member. */
class CustomerGateway {
 public:
  CustomerGateway(std::size_t customers, std::uint32_t connections) {
    this->gateway.view.groups.begin()->second.allocation.connections =
        connections;
    for (std::size_t i = 0; i < customers; ++i) {
      this->gateway.view.configuration.customers.push_back(
          Customer{NameOf(i), {"key-" + std::to_string(i)}, 0, std::nullopt});
    }
    this->gateway.Publish();
    this->gateway.Lease(milliseconds(600000));
    this->gateway.Vouch();
    for (const char* member : kMembers) {
      this->gateway.Members().Traits(MemberId(member)).way = milliseconds(12);
    }
  }

  static CustomerId NameOf(std::size_t customer) {
    return CustomerId("c" + std::to_string(customer));
  }

  ClientId Open(std::size_t customer, const std::string& host) {
    const ClientId client = this->gateway.Open(
        host, SessionOrigin::kClient, "key-" + std::to_string(customer));
    this->customer_of[client] = NameOf(customer);
    return client;
  }

  RequestId Ask(ClientId client, const std::string& text) {
    RequestId id = this->gateway.Ask(client, text);
    this->sent[id] = {client, this->gateway.Queue().Now()};
    return id;
  }

  /** Asserts that each statement ran on a connection of its customer. */
  void AssertOwnConnections() {
    for (const auto& run : this->gateway.Members().Runs()) {
      const ClientId client = this->sent.at(run.id).client;
      CPPUNIT_ASSERT_EQUAL(this->customer_of.at(client).Value(),
                           run.customer.Value());
    }
  }

  std::size_t Openings() {
    std::size_t count = 0;
    for (const char* member : kMembers) {
      count += this->gateway.Members().Openings(MemberId(member));
    }
    return count;
  }

  /** The statements that were refused, or not answered within a time. */
  std::size_t NotServedWithin(milliseconds limit) {
    std::size_t count = 0;
    for (const auto& [id, request] : this->sent) {
      const auto answer = this->gateway.Answers().find(id);
      const bool served = answer != this->gateway.Answers().end() &&
                          !answer->second.reply.error &&
                          answer->second.at - request.at <= limit;
      count += !served;
    }
    return count;
  }

  std::size_t SentCount() const { return this->sent.size(); }
  SessionGateway gateway;

 private:
  struct Request {
    ClientId client = 0;
    std::chrono::steady_clock::time_point at;
  };
  std::map<ClientId, CustomerId> customer_of;
  std::map<RequestId, Request> sent;
};

/** Draws customers of which the first is the largest; the k-th sends 1 / k^1.2
 * as much. */
class CustomerDraw {
 public:
  explicit CustomerDraw(std::size_t customers) {
    std::vector<double> weights;
    weights.reserve(customers);
    for (std::size_t i = 0; i < customers; ++i) {
      weights.push_back(std::pow(static_cast<double>(i + 1), -1.2));
    }
    this->distribution =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }
  std::size_t Next() { return this->distribution(this->random); }

 private:
  std::mt19937 random{20261206};
  std::discrete_distribution<std::size_t> distribution;
};

class CustomerConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CustomerConnectionsTest);
  CPPUNIT_TEST(StatementsRunOnConnectionsOfTheirCustomer);
  CPPUNIT_TEST(FewLargeAmongManySmall);
  CPPUNIT_TEST(ManySmallAtOnce);
  CPPUNIT_TEST(OneTurnsLargeWithinASecond);
  CPPUNIT_TEST(OpenTransactionsKeepTheirConnections);
  CPPUNIT_TEST(UnreachableMemberIsNotWaitedFor);
  CPPUNIT_TEST(OwnersAreRankedByCustomer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StatementsRunOnConnectionsOfTheirCustomer() {
    CustomerGateway fleet(20, 2);
    CustomerDraw draw(20);
    std::vector<ClientId> clients;
    clients.reserve(60);
    for (std::size_t i = 0; i < 60; ++i) {
      clients.push_back(fleet.Open(i % 20, i % 2 == 0 ? "primary" : "bounded"));
    }
    for (int round = 0; round < 300; ++round) {
      const ClientId client = clients[(draw.Next() * 7) % clients.size()];
      fleet.Ask(client, round % 5 == 0 ? "LOOKUP 1" : "LOOKUP 2");
      fleet.gateway.Run(milliseconds(7));
    }
    fleet.gateway.Run(milliseconds(2000));
    fleet.AssertOwnConnections();
    for (const char* member : kMembers) {
      CPPUNIT_ASSERT(fleet.gateway.Members().OpenLinks(MemberId(member)) <= 2);
    }
  }

  // A few customers send most of the statements, many send one in seconds. The
  // large ones keep their connections, so that most statements open none.
  void FewLargeAmongManySmall() {
    CustomerGateway fleet(77, 5);
    CustomerDraw draw(77);
    for (int i = 0; i < 600; ++i) {
      fleet.Ask(fleet.Open(draw.Next(), "bounded"), "LOOKUP 1");
      fleet.gateway.Run(milliseconds(25));
      if (i % 20 == 0) fleet.gateway.Vouch();
    }
    fleet.gateway.Run(milliseconds(1000));
    fleet.AssertOwnConnections();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.NotServedWithin(kMostWait));
    CPPUNIT_ASSERT(fleet.Openings() * 2 <= fleet.SentCount());
  }

  // Forty customers that each have one statement come back at the same moment.
  void ManySmallAtOnce() {
    CustomerGateway fleet(40, 5);
    for (std::size_t i = 0; i < 40; ++i) {
      fleet.Ask(fleet.Open(i, "bounded"), "LOOKUP 1");
    }
    fleet.gateway.Run(milliseconds(1000));
    fleet.AssertOwnConnections();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         fleet.NotServedWithin(milliseconds(400)));
    CPPUNIT_ASSERT(fleet.Openings() <= 60);
  }

  // A customer that hardly asked sends forty statements at once, while others
  // go on.
  void OneTurnsLargeWithinASecond() {
    CustomerGateway fleet(10, 5);
    for (int i = 0; i < 100; ++i) {
      fleet.Ask(fleet.Open(static_cast<std::size_t>(i % 9), "bounded"),
                "LOOKUP 1");
      fleet.gateway.Run(milliseconds(20));
    }
    const std::size_t before = fleet.Openings();
    for (int i = 0; i < 40; ++i) {
      fleet.Ask(fleet.Open(9, "bounded"), "LOOKUP 1");
      if (i % 4 == 0) {
        fleet.Ask(fleet.Open(static_cast<std::size_t>(i % 9), "bounded"),
                  "LOOKUP 1");
      }
      fleet.gateway.Run(milliseconds(5));
    }
    fleet.gateway.Run(milliseconds(1000));
    fleet.AssertOwnConnections();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         fleet.NotServedWithin(milliseconds(400)));
    CPPUNIT_ASSERT(fleet.Openings() - before <= 50);
  }

  void OpenTransactionsKeepTheirConnections() {
    CustomerGateway fleet(10, 2);
    const ClientId resting = fleet.Open(0, "primary");
    fleet.Ask(resting, "BEGIN");
    fleet.gateway.Run(milliseconds(200));
    fleet.Ask(resting, "STORE 1 x");
    for (std::size_t i = 1; i < 10; ++i) {
      fleet.Ask(fleet.Open(i, "primary"), "LOOKUP 1");
      fleet.gateway.Run(milliseconds(100));
    }
    fleet.Ask(resting, "STORE 2 y");
    const RequestId commit = fleet.Ask(resting, "COMMIT");
    fleet.gateway.Run(milliseconds(500));
    CPPUNIT_ASSERT(!fleet.gateway.Answers().at(commit).reply.error);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         fleet.NotServedWithin(milliseconds(400)));
    fleet.AssertOwnConnections();
    std::set<LinkId> links;
    for (const auto& run : fleet.gateway.Members().Runs()) {
      if (run.text.rfind("STORE", 0) == 0) links.insert(run.link);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, links.size());
  }

  void UnreachableMemberIsNotWaitedFor() {
    CustomerGateway fleet(10, 2);
    fleet.gateway.Members().Traits(kPrimary).silent = true;
    for (std::size_t i = 0; i < 10; ++i) {
      fleet.Ask(fleet.Open(i, "bounded"), "LOOKUP 1");
    }
    fleet.gateway.Run(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         fleet.NotServedWithin(milliseconds(900)));
  }

  // Sessions of one customer go to the same owner from wherever they come, and
  // the customers are spread over the owners.
  void OwnersAreRankedByCustomer() {
    CustomerGateway fleet(60, 2);
    ConnectionAllocation& allocation =
        fleet.gateway.view.groups.begin()->second.allocation;
    allocation.owner = false;
    allocation.owners = {NodeId("p1"), NodeId("p2"), NodeId("p3")};
    fleet.gateway.Publish();
    std::map<NodeId, std::size_t> first_choices;
    for (std::size_t customer = 0; customer < 60; ++customer) {
      std::set<NodeId> chosen;
      for (int i = 0; i < 3; ++i) {
        const ClientId client = fleet.Open(customer, "bounded");
        chosen.insert(fleet.gateway.Admissions().at(client).owners.front());
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chosen.size());
      ++first_choices[*chosen.begin()];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first_choices.size());
    for (const auto& choice : first_choices)
      CPPUNIT_ASSERT(choice.second >= 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerConnectionsTest);

}  // namespace
}  // namespace lacewingferry
