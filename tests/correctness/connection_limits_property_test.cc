#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "bench/model/session_gateway.h"

namespace lacewingferry {
namespace {

using model::SessionGateway;
using std::chrono::milliseconds;

constexpr std::size_t kMostCustomers = 24;
constexpr std::uint32_t kMostConnections = 20;
constexpr std::uint32_t kSettledConnections = 4;
/** Longer than the work of all statements of a burst takes. */
constexpr milliseconds kLongestMoment{200};
const char* const kMembers[] = {"m0", "m1", "m2"};
const char* const kHosts[] = {"primary", "bounded", "session"};
const char* const kTexts[] = {"LOOKUP 1", "STORE 1 x", "BEGIN", "BEGIN LOOKUP",
                              "COMMIT"};

/** What changes at a proxy whose sessions act for customers. */
enum class Change : std::uint8_t {
  kStatements,
  kBurst,
  kLimit,
  kCustomers,
  kOwner,
  kMemberLeaves,
  kMemberIsSilent,
  kMemberLosesAnswers,
  kMemberIsWell,
  kMemberHasFewSlots,
  kConnectionsBreak,
  kClientsGo,
  kNewTerm,
  kTransactionsEnd,
};

struct Step {
  Change change = Change::kStatements;
  /** Which member, customer or client, or how many; as the change has it. */
  std::uint32_t number = 0;
  milliseconds length{0};
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.change) << ", " << step.number
             << ", " << step.length.count() << " ms}";
}

rc::Gen<Step> AnyStep() {
  const auto change =
      rc::gen::weightedElement<Change>({{12, Change::kStatements},
                                        {6, Change::kLimit},
                                        {2, Change::kCustomers},
                                        {1, Change::kOwner},
                                        {2, Change::kMemberLeaves},
                                        {2, Change::kMemberIsSilent},
                                        {1, Change::kMemberLosesAnswers},
                                        {4, Change::kMemberIsWell},
                                        {4, Change::kMemberHasFewSlots},
                                        {2, Change::kConnectionsBreak},
                                        {1, Change::kClientsGo},
                                        {1, Change::kNewTerm},
                                        {1, Change::kTransactionsEnd}});
  const auto length = rc::gen::map(
      rc::gen::weightedOneOf<int>(
          {{3, rc::gen::inRange(0, 20)}, {1, rc::gen::inRange(0, 1500)}}),
      [](int count) { return milliseconds(count); });
  return rc::gen::build<Step>(
      rc::gen::set(&Step::change, change),
      rc::gen::set(&Step::number, rc::gen::inRange<std::uint32_t>(0, 1000)),
      rc::gen::set(&Step::length, length));
}

/** A proxy with customers that goes through changes. */
class ChangingProxy {
 public:
  ChangingProxy() {
    this->SetCustomers(kMostCustomers);
    this->gateway.view.groups.begin()->second.allocation.connections =
        kMostConnections;
    this->Publish();
  }

  void Apply(const Step& step) {
    GroupView& group = this->gateway.view.groups.begin()->second;
    auto& traits =
        this->gateway.Members().Traits(MemberId(kMembers[step.number % 3]));
    switch (step.change) {
      case Change::kStatements:
        this->SendStatements(step.number);
        break;
      case Change::kBurst:
        this->Burst(step.number % 16);
        break;
      case Change::kLimit:
        group.allocation.connections = step.number % (kMostConnections + 1);
        this->Publish();
        break;
      case Change::kCustomers:
        this->SetCustomers(step.number % (kMostCustomers + 1));
        this->Publish();
        break;
      case Change::kOwner:
        group.allocation.owner = step.number % 2 == 0;
        this->Publish();
        break;
      case Change::kMemberLeaves:
        group.members.at(step.number % 3).leaving = step.number % 2 == 0;
        this->Publish();
        break;
      case Change::kMemberIsSilent:
        traits.silent = true;
        break;
      case Change::kMemberLosesAnswers:
        traits.loses_answers = true;
        break;
      case Change::kMemberIsWell:
        traits.silent = false;
        traits.loses_answers = false;
        break;
      case Change::kMemberHasFewSlots:
        traits.slots = 1 + step.number % 4;
        traits.queue = step.number % 2 == 0 ? 0 : 1000;
        traits.way = milliseconds(2 + step.number % 20);
        break;
      case Change::kConnectionsBreak:
        this->gateway.Members().Break(MemberId(kMembers[step.number % 3]));
        break;
      case Change::kClientsGo:
        this->CloseClients(step.number % 8);
        break;
      case Change::kNewTerm:
        this->gateway.BeginTerm();
        this->gateway.Run(milliseconds(step.number % 100));
        this->gateway.Promote(MemberId(kMembers[step.number % 3]));
        this->Lease();
        break;
      case Change::kTransactionsEnd:
        this->gateway.Decisions().EndTransactions(this->Now());
        break;
    }
    this->gateway.Run(step.length);
  }

  /** Ends the troubles and lets everything be answered. */
  void Settle() {
    GroupView& group = this->gateway.view.groups.begin()->second;
    group.allocation.connections = kSettledConnections;
    group.allocation.owner = true;
    for (std::size_t i = 0; i < 3; ++i) {
      group.members.at(i).leaving = false;
      auto& traits = this->gateway.Members().Traits(MemberId(kMembers[i]));
      traits.silent = false;
      traits.loses_answers = false;
      traits.slots = 4;
      traits.queue = 1000;
      traits.way = milliseconds(2);
    }
    this->SetCustomers(kMostCustomers);
    this->Publish();
    this->gateway.Run(milliseconds(3000));
  }

  /** Ends all sessions, with their transactions. */
  void CloseAll() {
    this->CloseClients(static_cast<std::uint32_t>(this->clients.size()));
    this->gateway.Run(milliseconds(3000));
  }

  /** Has so many customers use a connection to the primary each. */
  void UseConnections(std::size_t customers) {
    for (std::size_t i = 0; i < customers; ++i) {
      this->gateway.Ask(this->Open(i, "primary"), "LOOKUP 1");
      this->gateway.Run(milliseconds(300));
    }
  }

  /** One statement of each of so many customers, one in a millisecond. */
  void Burst(std::size_t customers) {
    for (std::size_t i = 0; i < customers; ++i) {
      this->gateway.Ask(this->Open(i, "primary"), "STORE 1 x");
      this->gateway.Run(milliseconds(1));
    }
  }

  void Wait(milliseconds length) { this->gateway.Run(length); }

  /** How many statements each member runs at once, how many more wait there,
   * and how long each one takes. */
  void SetMembers(std::size_t slots, std::size_t queue, milliseconds work) {
    for (const char* member : kMembers) {
      auto& traits = this->gateway.Members().Traits(MemberId(member));
      traits.slots = slots;
      traits.queue = queue;
      traits.work = work;
    }
  }

  void SetLimit(std::uint32_t connections) {
    this->gateway.view.groups.begin()->second.allocation.connections =
        connections;
    this->Publish();
  }

  /** Whether every customer is served. */
  bool ServesAll() {
    for (std::size_t i = 0; i < kMostCustomers; ++i) {
      const ClientId client = this->Open(i, "bounded");
      const RequestId id = this->gateway.Ask(client, "LOOKUP 1");
      this->gateway.Run(milliseconds(300));
      const auto answer = this->gateway.Answers().find(id);
      const bool served = answer != this->gateway.Answers().end() &&
                          !answer->second.reply.error;
      if (!served) return false;
    }
    return true;
  }

  /** Whether each statement of a session that goes on was answered. */
  bool AnsweredAll() {
    for (const auto& [id, client] : this->sent) {
      const bool gone =
          this->left.count(client) > 0 || this->gateway.Closed(client);
      if (!gone && this->gateway.Answers().count(id) == 0) return false;
    }
    return true;
  }

  /** Whether idle connections are within the limit. */
  bool WithinLimit() {
    for (const char* member : kMembers) {
      const std::size_t open =
          this->gateway.Members().OpenLinks(MemberId(member));
      if (open > kSettledConnections) return false;
    }
    return true;
  }

 private:
  std::chrono::steady_clock::time_point Now() {
    return this->gateway.Queue().Now();
  }

  void Lease() {
    this->gateway.Lease(milliseconds(600000));
    this->gateway.Vouch();
  }

  void Publish() {
    ++this->gateway.view.configuration.version;
    this->gateway.Publish();
    this->Lease();
  }

  void SetCustomers(std::size_t count) {
    auto& customers = this->gateway.view.configuration.customers;
    customers.clear();
    for (std::size_t i = 0; i < count; ++i) {
      const std::string name = std::to_string(i);
      customers.push_back(
          Customer{CustomerId("c" + name), {"key-" + name}, 0, std::nullopt});
    }
  }

  ClientId Open(std::size_t customer, const std::string& host) {
    const ClientId client = this->gateway.Open(
        host, SessionOrigin::kClient, "key-" + std::to_string(customer));
    const auto admission = this->gateway.Admissions().find(client);
    const bool here = admission != this->gateway.Admissions().end() &&
                      admission->second.result == AdmissionResult::kAccepted;
    // Other sessions are relayed to owners or refused; nothing of them is here.
    if (!here) this->left.insert(client);
    this->clients.push_back(client);
    return client;
  }

  /** Sends statements of several sessions, some of them new. */
  void SendStatements(std::uint32_t number) {
    for (std::uint32_t i = 0; i <= number % 24; ++i) {
      const bool opens = this->clients.size() < 12 || (number + i) % 3 == 0;
      if (opens) this->Open((number + i * 7) % kMostCustomers, kHosts[i % 3]);
      const ClientId client =
          this->clients[(number * 5 + i) % this->clients.size()];
      if (this->left.count(client) > 0 || this->gateway.Closed(client)) {
        continue;
      }
      const RequestId id = this->gateway.Ask(client, kTexts[(number + i) % 5]);
      this->sent[id] = client;
    }
  }

  void CloseClients(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count && i < this->clients.size(); ++i) {
      const ClientId client = this->clients[this->clients.size() - 1 - i];
      if (!this->left.insert(client).second) continue;
      this->gateway.Decisions().OnClientGone(this->Now(), client);
    }
  }

  SessionGateway gateway;
  std::vector<ClientId> clients;
  std::set<ClientId> left;
  std::map<RequestId, ClientId> sent;
};

// Guards against a proxy that ends because a connection that it is about to
// close was closed by what it did for another one (review/9).
class ConnectionLimitsPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionLimitsPropertyTest);
  CPPUNIT_TEST(FewerConnectionsWhileCustomersWait);
  CPPUNIT_TEST(LimitFallsAtAnyMoment);
  CPPUNIT_TEST(ProxyOutlivesWhateverChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Members answer busy, so statements wait beside idle connections of others;
  // the limit falls at each moment of that wait in turn.
  void FewerConnectionsWhileCustomersWait() {
    for (milliseconds moment{0}; moment <= kLongestMoment; ++moment) {
      ChangingProxy proxy;
      proxy.UseConnections(6);
      proxy.SetMembers(1, 0, milliseconds(15));
      proxy.Burst(12);
      proxy.Wait(moment);
      proxy.SetLimit(1);
      proxy.Settle();
      proxy.CloseAll();
      CPPUNIT_ASSERT(proxy.WithinLimit());
      CPPUNIT_ASSERT(proxy.ServesAll());
    }
  }

  void LimitFallsAtAnyMoment() {
    CPPUNIT_ASSERT(rc::check("the limit falls at any moment", [] {
      const auto drawn = [](int least, int most) {
        return *rc::gen::inRange(least, most + 1);
      };
      const auto count = [&drawn](int least, int most) {
        return static_cast<std::size_t>(drawn(least, most));
      };
      ChangingProxy proxy;
      proxy.UseConnections(count(1, 10));
      proxy.SetMembers(count(1, 3), count(0, 2), milliseconds(drawn(1, 25)));
      proxy.Burst(count(1, 20));
      for (int change = drawn(1, 4); change > 0; --change) {
        proxy.Wait(milliseconds(drawn(0, 30)));
        proxy.SetLimit(static_cast<std::uint32_t>(drawn(0, 6)));
        proxy.Burst(count(0, 3));
      }
      proxy.Settle();
      proxy.CloseAll();
      RC_ASSERT(proxy.WithinLimit());
      RC_ASSERT(proxy.ServesAll());
    }));
  }

  void ProxyOutlivesWhateverChanges() {
    CPPUNIT_ASSERT(rc::check("a proxy outlives whatever changes", [] {
      const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
      ChangingProxy proxy;
      proxy.UseConnections(6);
      proxy.SetMembers(*rc::gen::inRange<std::size_t>(1, 4),
                       *rc::gen::element<std::size_t>(0, 1000),
                       milliseconds(15));
      for (const Step& step : steps) proxy.Apply(step);
      proxy.Settle();
      RC_ASSERT(proxy.AnsweredAll());
      proxy.CloseAll();
      RC_ASSERT(proxy.WithinLimit());
      RC_ASSERT(proxy.ServesAll());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionLimitsPropertyTest);

}  // namespace
}  // namespace lacewingferry
