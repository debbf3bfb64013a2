#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "bench/model/fleet.h"
#include "lacewingferry/decisions/ownership/witness_choice.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kProxiesPerZone = 6;

model::FleetOptions Options() {
  model::FleetOptions options = model::KraanwaterOptions();
  options.proxies_per_zone = kProxiesPerZone;
  options.seats = true;
  options.clock_drift = 0.01;
  options.group.notice_delay = milliseconds(50);
  return options;
}

/** The first or the second half of each zone's proxies. */
std::vector<std::size_t> HalfOfEachZone(const model::Fleet& fleet,
                                        bool second) {
  std::vector<std::size_t> half;
  for (std::size_t i = 0; i < fleet.ProxyCount(); ++i) {
    const bool in_second = i % kProxiesPerZone >= kProxiesPerZone / 2;
    if (in_second == second) half.push_back(i);
  }
  return half;
}

/** Replaces all witnesses by other proxies. The proxies learn of it one after
 * another within 8 s, while proxies are partitioned and one of each zone dies
 * and restarts repeatedly. Returns the number of connections in excess of the
 * slots. */
std::size_t ReplaceWitnesses(const model::FleetOptions& options,
                             std::uint64_t seed) {
  model::EventQueue queue;
  model::Fleet fleet(queue, options);
  std::mt19937_64 random(seed);
  fleet.NameProxies(HalfOfEachZone(fleet, false));
  for (std::size_t i = 0; i < fleet.ProxyCount(); ++i) {
    fleet.TellConfiguration(i);
  }
  queue.RunUntil(queue.Now() + seconds(15));
  fleet.NameProxies(HalfOfEachZone(fleet, true));
  for (std::size_t i = 0; i < fleet.ProxyCount(); ++i) {
    queue.After(milliseconds(random() % 8000),
                [&fleet, i] { fleet.TellConfiguration(i); });
  }
  const std::size_t restarted = random() % kProxiesPerZone;
  for (int step = 0; step < 60; ++step) {
    queue.RunUntil(queue.Now() + milliseconds(1 + random() % 400));
    const std::size_t proxy = random() % fleet.ProxyCount();
    if (proxy % kProxiesPerZone != restarted) {
      fleet.CutProxy(proxy, random() % 2 == 0);
    } else if (fleet.Alive(proxy)) {
      fleet.KillProxy(proxy);
    } else {
      fleet.StartProxy(proxy);
    }
    fleet.Publish(1, fleet.MemberName(0));
  }
  return fleet.Group().TurnedAway();
}

class WitnessChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WitnessChangeTest);
  CPPUNIT_TEST(KeepsToTheSlotsWhileAllWitnessesAreReplaced);
  CPPUNIT_TEST(ExceedsThemWhereTheEarlierOnesAreNotAsked);
  CPPUNIT_TEST(ChoosesTheSameWhateverElseChanges);
  CPPUNIT_TEST(TakesOtherZonesWhereOneIsTooSmall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsToTheSlotsWhileAllWitnessesAreReplaced() {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::size_t{0},
                                   ReplaceWitnesses(Options(), seed));
    }
  }

  void ExceedsThemWhereTheEarlierOnesAreNotAsked() {
    std::size_t turned_away = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      model::FleetOptions options = Options();
      options.seat_timings.overlap = milliseconds(0);
      turned_away += ReplaceWitnesses(options, seed);
    }
    CPPUNIT_ASSERT(turned_away > 0);
  }

  void ChoosesTheSameWhateverElseChanges() {
    ConfigurationInForce first = this->Named("nh-a", 7);
    ConfigurationInForce later = first;
    later.revision = 9;
    later.groups[GroupId("permit-db")] = DatabaseGroup();
    later.proxies.merge(this->Named("gl-a", 3).proxies);
    const AvailabilityZone zone("nh-a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, ChooseWitnesses(zone, first).size());
    CPPUNIT_ASSERT(ChooseWitnesses(zone, first) ==
                   ChooseWitnesses(zone, later));
  }

  void TakesOtherZonesWhereOneIsTooSmall() {
    ConfigurationInForce configuration = this->Named("nh-a", 1);
    configuration.proxies.merge(this->Named("gl-a", 1).proxies);
    configuration.proxies.merge(this->Named("nb-a", 1).proxies);
    const auto chosen =
        ChooseWitnesses(AvailabilityZone("nh-a"), configuration);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chosen.size());
    CPPUNIT_ASSERT(ChooseWitnesses(AvailabilityZone("nh-a"), {}).empty());
  }

 private:
  ConfigurationInForce Named(const std::string& zone, int count) {
    ConfigurationInForce configuration;
    configuration.revision = 1;
    for (int i = 0; i < count; ++i) {
      FrontProxy proxy;
      proxy.id = NodeId(zone + "-" + std::to_string(i));
      proxy.zone = AvailabilityZone(zone);
      configuration.proxies.emplace(proxy.id, proxy);
    }
    return configuration;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WitnessChangeTest);

}  // namespace
}  // namespace lacewingferry
