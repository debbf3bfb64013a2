#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/processes/poll_until.h"
#include "standin/platform/line_client.h"
#include "standin/platform/platform_fleet.h"
#include "tests/support/program_folder.h"

namespace lacewingferry::testing {
namespace {

using standin::kFleetDeadline;
using standin::LineClient;
using standin::PlatformCustomer;
using standin::PlatformFleet;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kKey[] = "key-of-kaan";
constexpr char kOtherKey[] = "key-of-mila";
constexpr double kRate = 20;
/** Between two operations of a client that asks for more than it may. */
constexpr milliseconds kPause{5};

/** Clients of one customer that ask for far more than its limit, through both
 * proxies, each operation under an item of its own. */
class EagerClients {
 public:
  explicit EagerClients(PlatformFleet& platform_fleet)
      : fleet(platform_fleet), begun(steady_clock::now()) {
    for (std::size_t proxy = 0; proxy < PlatformFleet::kProxies; ++proxy) {
      this->threads.emplace_back([this, proxy] { this->Ask(proxy); });
    }
  }
  EagerClients(const EagerClients&) = delete;
  EagerClients& operator=(const EagerClients&) = delete;
  ~EagerClients() { this->Stop(); }

  std::size_t Acknowledged() const { return this->acknowledged; }

  /** Waits until so many more operations were acknowledged. */
  bool AwaitMore(std::size_t operations) {
    const std::size_t enough = this->Acknowledged() + operations;
    return processes::PollUntil(kFleetDeadline, [this, enough] {
      return this->Acknowledged() >= enough;
    });
  }

  /** Stops the clients, and asserts that no more ran than the limit allows in
   * the time that passed. */
  void AssertLimitHeld() {
    this->Stop();
    const std::chrono::duration<double> passed =
        steady_clock::now() - this->begun;
    std::size_t ran = 0;
    for (std::size_t i = 0; i < this->asked; ++i) {
      ran += this->fleet.Standin().Stores("item" + std::to_string(i));
    }
    CPPUNIT_ASSERT(ran >= this->Acknowledged());
    CPPUNIT_ASSERT(static_cast<double>(ran) <= kRate * passed.count() + kRate);
  }

 private:
  void Ask(std::size_t proxy) {
    while (!this->stopped) {
      try {
        LineClient client(this->fleet.ClientAddress(proxy), "primary", kKey);
        for (std::string answer = "-"; !answer.empty() && !this->stopped;) {
          const std::size_t number = this->asked++;
          answer = client.Ask("STORE item" + std::to_string(number) + " x");
          this->acknowledged += answer.rfind("DONE", 0) == 0;
          std::this_thread::sleep_for(kPause);
        }
      } catch (const std::exception&) {
        std::this_thread::sleep_for(kPause);
      }
    }
  }

  void Stop() {
    this->stopped = true;
    for (std::thread& thread : this->threads) {
      if (thread.joinable()) thread.join();
    }
  }

  PlatformFleet& fleet;
  steady_clock::time_point begun;
  std::atomic<bool> stopped{false};
  std::atomic<std::size_t> asked{0};
  std::atomic<std::size_t> acknowledged{0};
  std::vector<std::thread> threads;
};

std::vector<PlatformCustomer> Customers(const std::vector<std::string>& keys) {
  return {{"kaan", keys, 0}, {"mila", {kOtherKey}, 0}};
}

std::vector<PlatformCustomer> LimitedCustomers() {
  return {{"kaan", {kKey}, kRate}};
}

/** Opens a session as soon as it is served. */
std::unique_ptr<LineClient> OpenWhenServed(PlatformFleet& fleet,
                                           std::size_t proxy,
                                           const std::string& key) {
  std::unique_ptr<LineClient> client;
  const bool open = processes::PollUntil(kFleetDeadline, [&] {
    try {
      client = std::make_unique<LineClient>(fleet.ClientAddress(proxy),
                                            "primary", key);
      return client->Ask("LOOKUP a").rfind("ERROR", 0) != 0;
    } catch (const std::exception&) {
      return false;
    }
  });
  CPPUNIT_ASSERT(open);
  return client;
}

class ProcessesCustomersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesCustomersTest);
  CPPUNIT_TEST(LimitHoldsWhenAProxyIsKilledAndStartedAgain);
  CPPUNIT_TEST(LimitHoldsWhenTheControlLeaderIsLost);
  CPPUNIT_TEST(WithdrawnKeyEndsARelayedSessionInATransaction);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LimitHoldsWhenAProxyIsKilledAndStartedAgain() {
    PlatformFleet fleet(ProgramFolder());
    fleet.PutConfiguration(3, LimitedCustomers());
    fleet.AwaitReady();
    EagerClients clients(fleet);
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(clients.AwaitMore(static_cast<std::size_t>(kRate)));
      fleet.Proxy(0).Kill();
      fleet.RestartProxy(0);
    }
    CPPUNIT_ASSERT(clients.AwaitMore(static_cast<std::size_t>(kRate)));
    clients.AssertLimitHeld();
  }

  void LimitHoldsWhenTheControlLeaderIsLost() {
    PlatformFleet fleet(ProgramFolder());
    fleet.PutConfiguration(3, LimitedCustomers());
    fleet.AwaitReady();
    EagerClients clients(fleet);
    CPPUNIT_ASSERT(clients.AwaitMore(static_cast<std::size_t>(kRate)));
    for (std::size_t i = 0; i < PlatformFleet::kControls; ++i) {
      if (fleet.ControlGauge(i, "ferry_control_leads").value_or(0) == 0) {
        continue;
      }
      fleet.Control(i).Kill();
      fleet.RestartControl(i);
      break;
    }
    CPPUNIT_ASSERT(clients.AwaitMore(static_cast<std::size_t>(2 * kRate)));
    clients.AssertLimitHeld();
  }

  // Members take so few connections that one proxy serves all sessions and the
  // other relays its clients'.
  void WithdrawnKeyEndsARelayedSessionInATransaction() {
    PlatformFleet fleet(ProgramFolder());
    fleet.PutConfiguration(3, Customers({kKey}), 6);
    fleet.AwaitReady();
    std::vector<std::unique_ptr<LineClient>> in_transaction;
    std::vector<std::unique_ptr<LineClient>> others;
    for (std::size_t proxy = 0; proxy < PlatformFleet::kProxies; ++proxy) {
      in_transaction.push_back(OpenWhenServed(fleet, proxy, kKey));
      others.push_back(OpenWhenServed(fleet, proxy, kOtherKey));
      const std::string item = "withdrawn" + std::to_string(proxy);
      in_transaction.back()->Ask("BEGIN");
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{0},
          in_transaction.back()->Ask("STORE " + item + " x").rfind("DONE", 0));
    }
    fleet.PutConfiguration(4, Customers({}), 6);
    for (std::size_t proxy = 0; proxy < PlatformFleet::kProxies; ++proxy) {
      CPPUNIT_ASSERT_EQUAL(std::string(), in_transaction[proxy]->ReadLine());
      const std::string item = "withdrawn" + std::to_string(proxy);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.Standin().Stores(item));
      CPPUNIT_ASSERT(others[proxy]->Ask("LOOKUP a").rfind("ERROR", 0) != 0);
      CPPUNIT_ASSERT_EQUAL(
          std::string("ERROR NOAUTH unknown key"),
          LineClient(fleet.ClientAddress(proxy), "")
              .SendRaw("STARTUP primary " + std::string(kKey) + "\r\n"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesCustomersTest);

}  // namespace
}  // namespace lacewingferry::testing
