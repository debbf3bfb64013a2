#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "lacewingferry/decisions/ownership/proxy_seats.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const NodeId kSelf("proxy-a");
const NodeId kOther("proxy-b");
const AvailabilityZone kZone("nh-a");
const MemberId kMember("permit-db-1-a");

ConfigurationInForce ThreeProxies() {
  ConfigurationInForce configuration;
  configuration.revision = 1;
  for (const std::string name : {"proxy-a", "proxy-b", "proxy-c"}) {
    FrontProxy proxy;
    proxy.id = NodeId(name);
    proxy.zone = kZone;
    configuration.proxies.emplace(proxy.id, proxy);
  }
  return configuration;
}

RoutingView ViewWithShare(std::uint32_t share) {
  RoutingView view;
  RoutedMember member;
  member.info.id = kMember;
  member.info.zone = kZone;
  member.info.slots = 2;
  member.owners = {SlotShare{kSelf, share}};
  view.databases[DatabaseId("permit-db-1")].members = {member};
  return view;
}

/** A proxy with one other live witness and one traffic thread. */
class SeatReturnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SeatReturnTest);
  CPPUNIT_TEST(KeepsSeatsUntilTheTrafficHasClosedItsConnections);
  CPPUNIT_TEST(UsesNoSeatBeforeAConfiguration);
  CPPUNIT_TEST(TakesSharesByItsViewWithoutAConfiguration);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->now = steady_clock::time_point(std::chrono::hours(1));
    this->table.reset();
    this->released = 0;
    this->witness = std::make_unique<SeatWitness>(
        this->now - std::chrono::minutes(1), SeatTimings());
    ProxySeatsSettings settings;
    settings.self = kSelf;
    settings.incarnation = 1;
    this->seats = std::make_unique<ProxySeats>(
        this->now, settings,
        ProxySeatsHooks{
            [this](const NodeId& to, const PeerBody& body) {
              const auto* claim = std::get_if<SeatClaim>(&body);
              if (to == kOther && claim != nullptr) this->AnswerClaim(*claim);
            },
            [this](const SeatTablePtr& newer) { this->table = newer; }});
  }

  void KeepsSeatsUntilTheTrafficHasClosedItsConnections() {
    this->seats->OnConfiguration(this->now, ThreeProxies());
    this->seats->OnView(this->now, ViewWithShare(2));
    this->RunFor(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->SeatsHeld());
    this->released = 0;
    this->seats->OnView(this->now, ViewWithShare(0));
    // The traffic thread may not have applied the new view yet.
    this->RunFor(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->released);
    this->Report(1);
    this->RunFor(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->released);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->SeatsHeld());
    this->Report(0);
    this->RunFor(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->released);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->SeatsHeld());
  }

  void UsesNoSeatBeforeAConfiguration() {
    this->seats->OnView(this->now, ViewWithShare(2));
    this->RunFor(milliseconds(2900));
    CPPUNIT_ASSERT(this->table->witnessed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->SeatsHeld());
  }

  void TakesSharesByItsViewWithoutAConfiguration() {
    this->seats->OnView(this->now, ViewWithShare(2));
    this->RunFor(milliseconds(3100));
    CPPUNIT_ASSERT(!this->table->witnessed);
    // A peer's claim shows that there is a configuration.
    this->seats->OnMessage(this->now, kOther, SeatClaim());
    this->RunFor(milliseconds(10));
    CPPUNIT_ASSERT(this->table->witnessed);
  }

 private:
  void AnswerClaim(const SeatClaim& claim) {
    this->released += claim.released.size();
    const SeatGrant grant = this->witness->OnClaim(this->now, kSelf, claim);
    this->seats->OnMessage(this->now, kOther, grant);
  }

  void Report(std::size_t connections) {
    SeatReport report;
    report.table = this->table->number;
    report.connections[kMember] = connections;
    this->seats->OnReport(report);
  }

  std::size_t SeatsHeld() const {
    const auto found = this->table->ends.find(kMember);
    return found == this->table->ends.end() ? 0 : found->second.size();
  }

  void RunFor(milliseconds time) {
    const auto end = this->now + time;
    while (this->now < end) {
      this->seats->OnTick(this->now);
      this->now += milliseconds(1);
    }
  }

  steady_clock::time_point now;
  SeatTablePtr table;
  std::size_t released = 0;
  std::unique_ptr<SeatWitness> witness;
  std::unique_ptr<ProxySeats> seats;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SeatReturnTest);

}  // namespace
}  // namespace lacewingferry
