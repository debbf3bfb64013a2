#include "lacewingferry/decisions/gateway/fleet_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "lacewingferry/decisions/gateway/position_history.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const NodeId kLeader{"10.0.0.1"};
const NodeId kOther{"10.0.0.2"};
const DatabaseId kDatabase{"db"};

/** A FleetClient, with records of what it sent and published. */
struct Harness {
  steady_clock::time_point now{std::chrono::hours(1)};
  std::vector<std::pair<NodeId, ProxyReport>> reports;
  std::vector<LeaseRecalled> recalled;
  std::vector<GatewayViewPtr> views;
  std::optional<steady_clock::time_point> lease_until;
  std::optional<steady_clock::time_point> sampled_at;
  std::vector<std::uint64_t> recalls;
  FleetClient client;

  Harness() : client(this->Hooks(), FleetClientSettings(), 100) {
    this->client.Start(this->now);
    this->Run(milliseconds(1));
  }

  FleetClientHooks Hooks() {
    FleetClientHooks hooks;
    hooks.report = [this](const NodeId& to, const ProxyReport& report) {
      this->reports.emplace_back(to, report);
    };
    hooks.recalled = [this](const NodeId&, const LeaseRecalled& done) {
      this->recalled.push_back(done);
    };
    hooks.redial = [](const NodeId&) {};
    hooks.publish = [this](GatewayViewPtr view) {
      this->views.push_back(view);
    };
    hooks.lease = [this](const DatabaseId&, std::uint64_t,
                         steady_clock::time_point until) {
      this->lease_until = until;
    };
    hooks.position =
        [this](const DatabaseId&, steady_clock::time_point requested_at,
               const LogPosition&) { this->sampled_at = requested_at; };
    hooks.recall = [this](const DatabaseId&, std::uint64_t before_term,
                          milliseconds) {
      this->recalls.push_back(before_term);
    };
    hooks.seeds = [] { return std::vector<NodeId>{kLeader, kOther}; };
    hooks.events = EventPort{[](const Event&) {}};
    return hooks;
  }

  void Run(milliseconds length) {
    const auto end = this->now + length;
    while (this->now < end) {
      this->now += milliseconds(1);
      if (this->client.NextWakeup() <= this->now)
        this->client.OnTick(this->now);
    }
  }

  /** The number of reports to a process from index `since` on. */
  std::size_t ReportsTo(const NodeId& node, std::size_t since) const {
    std::size_t count = 0;
    for (std::size_t i = since; i < this->reports.size(); ++i) {
      count += this->reports[i].first == node ? 1 : 0;
    }
    return count;
  }

  ProxyUpdate Answer() const {
    ProxyUpdate update;
    update.sequence = this->reports.back().second.sequence;
    update.incarnation = this->reports.back().second.incarnation;
    update.proxies = 4;
    return update;
  }

  void Receive(const ProxyUpdate& update) {
    this->client.OnUpdate(this->now, kLeader, update);
  }
};

FleetState Fleet(std::uint64_t revision) {
  FleetState fleet;
  fleet.revision = revision;
  DatabaseTerm term;
  term.database = kDatabase;
  term.term = 3;
  term.primary = MemberId("m0");
  fleet.databases = {term};
  return fleet;
}

ServiceConfiguration Configuration(std::uint64_t version) {
  ServiceConfiguration configuration;
  configuration.version = version;
  configuration.services = {{kDatabase, 76, 1}};
  return configuration;
}

class FleetClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetClientTest);
  CPPUNIT_TEST(IgnoresOlderState);
  CPPUNIT_TEST(LeaseIsCountedFromRequestTime);
  CPPUNIT_TEST(PositionAgeIncludesRequestTime);
  CPPUNIT_TEST(TriesOtherControlProcesses);
  CPPUNIT_TEST(ReportsToAllUntilLeaderAnswers);
  CPPUNIT_TEST(ReportsToAllWhenLeaderStopsAnswering);
  CPPUNIT_TEST(FollowsRedirectAtOnce);
  CPPUNIT_TEST(EmptyRedirectIsIgnored);
  CPPUNIT_TEST(RaisesIncarnationAfterClockWentBack);
  CPPUNIT_TEST(LowerProxyCountTakesEffectAfterDelay);
  CPPUNIT_TEST(RecallReportsAcknowledgedPosition);
  CPPUNIT_TEST(OldestRecentSampleGivesLeastPosition);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IgnoresOlderState() {
    Harness harness;
    ProxyUpdate update = harness.Answer();
    update.fleet = Fleet(9);
    update.configuration = Configuration(5);
    harness.Receive(update);
    CPPUNIT_ASSERT(harness.client.Ready());
    const std::size_t published = harness.views.size();
    ProxyUpdate older = update;
    older.fleet = Fleet(8);
    older.configuration = Configuration(4);
    harness.Receive(older);
    CPPUNIT_ASSERT_EQUAL(published, harness.views.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                         harness.views.back()->configuration.version);
  }

  void LeaseIsCountedFromRequestTime() {
    Harness harness;
    ProxyUpdate first = harness.Answer();
    first.fleet = Fleet(9);
    first.configuration = Configuration(5);
    harness.Receive(first);
    const auto sent = harness.now;
    const ProxyReport report = harness.reports.back().second;
    CPPUNIT_ASSERT(report.renewal && report.renewal->lists_databases);
    harness.now += milliseconds(300);
    ProxyUpdate granted = harness.Answer();
    granted.grant = LeaseGrant{};
    granted.grant->sequence = report.renewal->sequence;
    granted.grant->incarnation = report.incarnation;
    granted.grant->duration = milliseconds(2500);
    harness.Receive(granted);
    CPPUNIT_ASSERT(harness.lease_until);
    CPPUNIT_ASSERT(*harness.lease_until < sent + milliseconds(2500));
    CPPUNIT_ASSERT(*harness.lease_until > sent + milliseconds(2400));
  }

  void PositionAgeIncludesRequestTime() {
    Harness harness;
    const auto sent = harness.now;
    harness.now += milliseconds(200);
    ProxyUpdate update = harness.Answer();
    update.positions = {{kDatabase, LogPosition{1, 5}, milliseconds(100)}};
    harness.Receive(update);
    CPPUNIT_ASSERT(harness.sampled_at);
    CPPUNIT_ASSERT(*harness.sampled_at <= sent - milliseconds(99));
  }

  void TriesOtherControlProcesses() {
    Harness harness;
    harness.Run(milliseconds(1000));
    CPPUNIT_ASSERT(harness.reports.front().first == kLeader);
    bool elsewhere = false;
    for (const auto& report : harness.reports) {
      elsewhere = elsewhere || report.first == kOther;
    }
    CPPUNIT_ASSERT(elsewhere);
    CPPUNIT_ASSERT(harness.reports.back().second.unanswered >= 2);
  }

  // After a power failure all processes start at once and no control process
  // leads yet. Reports go to all of them, so that the new leader can answer as
  // soon as it is elected.
  void ReportsToAllUntilLeaderAnswers() {
    Harness harness;
    harness.Run(milliseconds(200));
    CPPUNIT_ASSERT(harness.ReportsTo(kLeader, 0) >= 2);
    CPPUNIT_ASSERT(harness.ReportsTo(kOther, 0) >= 2);
    CPPUNIT_ASSERT(harness.reports.back().second.renewal);
    harness.client.OnUpdate(harness.now, kOther, harness.Answer());
    const std::size_t since = harness.reports.size();
    harness.Run(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.ReportsTo(kLeader, since));
    CPPUNIT_ASSERT(harness.ReportsTo(kOther, since) > 0);
  }

  void ReportsToAllWhenLeaderStopsAnswering() {
    Harness harness;
    harness.Receive(harness.Answer());
    const std::size_t since = harness.reports.size();
    harness.Run(milliseconds(650));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.ReportsTo(kOther, since));
    harness.Run(milliseconds(600));
    CPPUNIT_ASSERT(harness.ReportsTo(kLeader, since) >= 4);
    CPPUNIT_ASSERT(harness.ReportsTo(kOther, since) >= 2);
  }

  void FollowsRedirectAtOnce() {
    Harness harness;
    harness.client.OnRedirect(harness.now, ControlRedirect{kOther, "", 7});
    CPPUNIT_ASSERT(harness.reports.back().first == kOther);
  }

  // A control process answers with an empty redirect while there is no leader;
  // this keeps the connection open until one is elected.
  void EmptyRedirectIsIgnored() {
    Harness harness;
    const std::size_t before = harness.reports.size();
    harness.client.OnRedirect(harness.now, ControlRedirect{NodeId(), "", 7});
    CPPUNIT_ASSERT_EQUAL(before, harness.reports.size());
    harness.Run(milliseconds(200));
    CPPUNIT_ASSERT(harness.ReportsTo(kLeader, before) > 0);
  }

  void RaisesIncarnationAfterClockWentBack() {
    Harness harness;
    ProxyUpdate update;
    update.incarnation = 500;
    harness.Receive(update);
    harness.Run(milliseconds(600));
    CPPUNIT_ASSERT(harness.reports.back().second.incarnation > 500);
  }

  void LowerProxyCountTakesEffectAfterDelay() {
    Harness harness;
    ProxyUpdate update = harness.Answer();
    update.fleet = Fleet(9);
    update.configuration = Configuration(5);
    update.proxies = 20;
    harness.Receive(update);
    const auto connections = [&] {
      return harness.views.back()->groups.at(kDatabase).allocation.connections;
    };
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, connections());
    update.proxies = 1;
    harness.Receive(update);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, connections());
    harness.now += milliseconds(7000);
    harness.Receive(update);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, connections());
  }

  void RecallReportsAcknowledgedPosition() {
    Harness harness;
    harness.client.OnRecall(harness.now, kLeader,
                            LeaseRecall{kDatabase, 4, milliseconds(50)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.recalls.size());
    CPPUNIT_ASSERT(harness.recalled.empty());
    harness.client.OnTrafficRecalled(harness.now, kDatabase, 4,
                                     LogPosition{3, 17});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.recalled.size());
    CPPUNIT_ASSERT((harness.recalled[0].acknowledged == LogPosition{3, 17}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                         harness.recalled[0].released.before_term);
  }

  void OldestRecentSampleGivesLeastPosition() {
    PositionHistory history;
    const steady_clock::time_point start;
    for (int i = 0; i < 20; ++i) {
      history.Add(start + milliseconds(100 * i),
                  LogPosition{1, static_cast<std::uint64_t>(i)});
    }
    const auto read = start + milliseconds(1950);
    const auto least = history.LeastPositionFor(read, milliseconds(1000));
    CPPUNIT_ASSERT(least && least->offset == 10);
    CPPUNIT_ASSERT(!history.LeastPositionFor(read, milliseconds(40)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetClientTest);

}  // namespace
}  // namespace lacewingferry
