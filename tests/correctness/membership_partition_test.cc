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
/** Members of the zone that is cut off and of another. */
constexpr std::size_t kMemberInside = 3;
constexpr std::size_t kMemberOutside = 4;

MembershipFleetSettings Lossy(std::uint64_t seed) {
  MembershipFleetSettings settings;
  settings.seed = seed;
  settings.loss = 0.05;
  settings.doubled = 0.02;
  return settings;
}

/** Counts how often any process took any record of one that is gone. */
int CountGone(MembershipFleet& fleet, seconds duration) {
  int gone = 0;
  fleet.changed = [&gone](std::size_t, const MembershipRecord& record) {
    gone += record.gone ? 1 : 0;
  };
  fleet.RunFor(duration);
  fleet.changed = nullptr;
  return gone;
}

/** How many messages all processes send within a time. */
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
  CPPUNIT_TEST(FindsNoFalseDeaths);
  CPPUNIT_TEST(KeepsTheMembersOfADeadProxy);
  CPPUNIT_TEST(KeepsWhatIsBeyondAPartition);
  CPPUNIT_TEST(ConvergesAfterHealingWithoutAStorm);
  CPPUNIT_TEST(LeavesOutAZoneAfterTheSettledTime);
  CPPUNIT_TEST(ForgivesItselfAPause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsNoFalseDeaths() {
    for (std::uint64_t seed = 1; seed <= 2 * kSeeds; ++seed) {
      MembershipFleet fleet(Lossy(seed));
      fleet.RunFor(seconds(10));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), 0,
                                   CountGone(fleet, seconds(30)));
    }
  }

  void KeepsTheMembersOfADeadProxy() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleet fleet(Lossy(seed));
      fleet.RunFor(seconds(12));
      fleet.Kill(fleet.AnyProxy(seed % 2 == 0));
      // The proxy itself is gone at each process, and nobody else.
      const int processes = static_cast<int>(fleet.processes.size()) - 1;
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), processes,
                                   CountGone(fleet, seconds(8)));
    }
  }

  void KeepsWhatIsBeyondAPartition() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleet fleet(Lossy(seed));
      fleet.RunFor(seconds(15));
      fleet.SetCutOff(kCutZone, true);
      // A relay notices the silence of a zone, and each process asks a relay
      // each 10 s; one answer may be lost.
      CPPUNIT_ASSERT_EQUAL(0, CountGone(fleet, seconds(45)));
      CPPUNIT_ASSERT(fleet.Converged());
      const bool noticed = fleet.Everywhere([](const MembershipNode& node) {
        return !node.UnreachableSince().empty();
      });
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), noticed);
    }
  }

  void ConvergesAfterHealingWithoutAStorm() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleet fleet(Lossy(seed));
      fleet.RunFor(seconds(15));
      const int quiet = CountMessages(fleet, seconds(10));
      fleet.SetCutOff(kCutZone, true);
      fleet.members[kMemberInside].up = false;
      fleet.members[kMemberOutside].up = false;
      fleet.RunFor(seconds(20));
      CPPUNIT_ASSERT(!fleet.Converged());
      fleet.RestartMember(kMemberOutside);
      fleet.RunFor(seconds(5));
      fleet.SetCutOff(kCutZone, false);
      const int healing = CountMessages(fleet, seconds(10));
      const std::string name = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(name, fleet.Converged());
      CPPUNIT_ASSERT_MESSAGE(name, healing < 2 * quiet);
      fleet.RunFor(seconds(20));
      CPPUNIT_ASSERT_MESSAGE(name,
                             fleet.Everywhere([](const MembershipNode& node) {
                               return node.UnreachableSince().empty();
                             }));
    }
  }

  void LeavesOutAZoneAfterTheSettledTime() {
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

  void ForgivesItselfAPause() {
    MembershipFleet fleet(Lossy(1));
    fleet.RunFor(seconds(15));
    auto node = std::move(fleet.processes[5].node);
    fleet.RunFor(std::chrono::milliseconds(3000));
    int gone = 0;
    fleet.changed = [&gone](std::size_t process, const MembershipRecord& r) {
      if (process == 5 && r.gone) ++gone;
    };
    fleet.processes[5].node = std::move(node);
    fleet.processes[5].node->OnTick(fleet.queue.Now());
    CPPUNIT_ASSERT_EQUAL(0, gone);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPartitionTest);

}  // namespace
}  // namespace lacewingferry
