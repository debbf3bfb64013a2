#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

#include "bench/model/membership_fleet.h"

namespace lacewingferry {
namespace {

using model::MembershipFleet;
using model::MembershipFleetSettings;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 30;
constexpr std::size_t kCutZone = 0;
/** A member of the zone that is cut off, and one of another zone. */
constexpr std::size_t kMemberInside = 3;
constexpr std::size_t kMemberOutside = 4;

MembershipFleetSettings Lossy(std::uint64_t seed) {
  MembershipFleetSettings settings;
  settings.seed = seed;
  settings.loss = 0.05;
  settings.doubled = 0.02;
  return settings;
}

/** Counts how often any process stores a record that is marked gone. */
int CountTombstones(MembershipFleet& fleet, seconds duration) {
  int tombstones = 0;
  fleet.changed = [&tombstones](std::size_t, const MembershipRecord& record) {
    tombstones += record.gone ? 1 : 0;
  };
  fleet.RunFor(duration);
  fleet.changed = nullptr;
  return tombstones;
}

/** Counts the messages that all processes send. */
int CountMessages(MembershipFleet& fleet, seconds duration) {
  int messages = 0;
  fleet.tap = [&messages](std::size_t, std::size_t, const PeerMessage&) {
    ++messages;
  };
  fleet.RunFor(duration);
  fleet.tap = nullptr;
  return messages;
}

class MembershipPartitionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipPartitionTest);
  CPPUNIT_TEST(ReportsNoFalseLosses);
  CPPUNIT_TEST(KeepsTheMembersOfALostProxy);
  CPPUNIT_TEST(KeepsTheRecordsOfAnUnreachableZone);
  CPPUNIT_TEST(ConvergesAfterHealingWithoutMessageStorm);
  CPPUNIT_TEST(ExcludesAZoneUnreachableForAnHour);
  CPPUNIT_TEST(ReportsNoLossesAfterItsOwnPause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportsNoFalseLosses() {
    for (std::uint64_t seed = 1; seed <= 2 * kSeeds; ++seed) {
      MembershipFleet fleet(Lossy(seed));
      fleet.RunFor(seconds(10));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), 0,
                                   CountTombstones(fleet, seconds(30)));
    }
  }

  void KeepsTheMembersOfALostProxy() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleet fleet(Lossy(seed));
      fleet.RunFor(seconds(12));
      fleet.Kill(fleet.AnyProxy(seed % 2 == 0));
      // Each remaining process records the loss of the proxy and no other.
      const int processes = static_cast<int>(fleet.processes.size()) - 1;
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), processes,
                                   CountTombstones(fleet, seconds(8)));
    }
  }

  void KeepsTheRecordsOfAnUnreachableZone() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleet fleet(Lossy(seed));
      fleet.RunFor(seconds(15));
      fleet.SetCutOff(kCutZone, true);
      // A relay detects that a zone is unreachable, and each process compares
      // with a relay every 10 s. 45 s allow for one lost answer.
      CPPUNIT_ASSERT_EQUAL(0, CountTombstones(fleet, seconds(45)));
      CPPUNIT_ASSERT(fleet.Converged());
      const bool noticed = fleet.Everywhere([](const MembershipNode& node) {
        return !node.UnreachableSince().empty();
      });
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), noticed);
    }
  }

  void ConvergesAfterHealingWithoutMessageStorm() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleet fleet(Lossy(seed));
      fleet.RunFor(seconds(15));
      const int baseline = CountMessages(fleet, seconds(10));
      fleet.SetCutOff(kCutZone, true);
      fleet.members[kMemberInside].up = false;
      fleet.members[kMemberOutside].up = false;
      fleet.RunFor(seconds(20));
      CPPUNIT_ASSERT(!fleet.Converged());
      fleet.RestartMember(kMemberOutside);
      fleet.RunFor(seconds(5));
      fleet.SetCutOff(kCutZone, false);
      const int after_healing = CountMessages(fleet, seconds(10));
      const std::string name = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(name, fleet.Converged());
      CPPUNIT_ASSERT_MESSAGE(name, after_healing < 2 * baseline);
      fleet.RunFor(seconds(20));
      CPPUNIT_ASSERT_MESSAGE(name,
                             fleet.Everywhere([](const MembershipNode& node) {
                               return node.UnreachableSince().empty();
                             }));
    }
  }

  void ExcludesAZoneUnreachableForAnHour() {
    MembershipFleet fleet(Lossy(1));
    fleet.RunFor(seconds(15));
    fleet.SetCutOff(kCutZone, true);
    fleet.RunFor(seconds(30));
    MembershipNode& node = *fleet.processes[1].node;
    const auto now = fleet.queue.Now();
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, node.BuildView(now).proxies.size());
    const auto later = now + std::chrono::hours(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{13}, node.BuildView(later).proxies.size());
  }

  void ReportsNoLossesAfterItsOwnPause() {
    MembershipFleet fleet(Lossy(1));
    fleet.RunFor(seconds(15));
    auto node = std::move(fleet.processes[5].node);
    fleet.RunFor(std::chrono::milliseconds(3000));
    int tombstones = 0;
    fleet.changed = [&tombstones](std::size_t process,
                                  const MembershipRecord& record) {
      if (process == 5 && record.gone) ++tombstones;
    };
    fleet.processes[5].node = std::move(node);
    fleet.processes[5].node->OnTick(fleet.queue.Now());
    CPPUNIT_ASSERT_EQUAL(0, tombstones);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPartitionTest);

}  // namespace
}  // namespace lacewingferry
