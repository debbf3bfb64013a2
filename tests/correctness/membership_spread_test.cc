#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <string>

#include "bench/model/membership_fleet.h"

namespace lacewingferry {
namespace {

using model::MembershipFleet;
using model::MembershipFleetSettings;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 200;
constexpr milliseconds kLimit{2000};
constexpr std::size_t kMember = 7;

/** 20 proxies and 3 control processes in 3 zones that lose 5 % of messages. */
MembershipFleetSettings Lossy(std::uint64_t seed) {
  MembershipFleetSettings settings;
  settings.seed = seed;
  settings.loss = 0.05;
  settings.doubled = 0.02;
  return settings;
}

/** Each event reaches every proxy and control process within 2 s, whatever the
 * seed. */
class MembershipSpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipSpreadTest);
  CPPUNIT_TEST(SpreadsAnAnnouncement);
  CPPUNIT_TEST(SpreadsLeavingAlsoWhileARelayIsLost);
  CPPUNIT_TEST(SpreadsAMembersDeath);
  CPPUNIT_TEST(SpreadsAProxysDeath);
  CPPUNIT_TEST(SpreadsARelaysDeath);
  CPPUNIT_TEST(SpreadsDraining);
  CPPUNIT_TEST(SpreadsTheEndOfAPlannedStop);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SpreadsAnAnnouncement() {
    this->Judge(
        [](MembershipFleet& fleet) {
          fleet.members[kMember].up = true;
          return [&fleet] { return fleet.Converged(); };
        },
        [](MembershipFleet& fleet) { fleet.members[kMember].up = false; });
  }

  void SpreadsLeavingAlsoWhileARelayIsLost() {
    this->Judge([](MembershipFleet& fleet) {
      fleet.members[kMember].announcement.info.leaving = true;
      fleet.Kill(fleet.AnyProxy(true));
      const MemberId id = fleet.members[kMember].announcement.info.id;
      return [&fleet, id] {
        return fleet.Everywhere([&id](const MembershipNode& node) {
          const MembershipRecord* record = node.Table().Find(id);
          return std::get<MemberAnnouncement>(record->subject).info.leaving;
        });
      };
    });
  }

  void SpreadsAMembersDeath() {
    this->Judge([](MembershipFleet& fleet) {
      fleet.members[kMember].up = false;
      return [&fleet] { return fleet.Converged(); };
    });
  }

  void SpreadsAProxysDeath() {
    this->Judge([](MembershipFleet& fleet) {
      fleet.Kill(fleet.AnyProxy(false));
      return [&fleet] { return fleet.Converged(); };
    });
  }

  void SpreadsARelaysDeath() {
    this->Judge([](MembershipFleet& fleet) {
      fleet.Kill(fleet.AnyProxy(true));
      return [&fleet] { return fleet.Converged(); };
    });
  }

  void SpreadsDraining() {
    this->Judge([](MembershipFleet& fleet) {
      const std::size_t proxy = fleet.AnyProxy(false);
      fleet.processes[proxy].node->StartDraining(fleet.queue.Now());
      const NodeId id = fleet.processes[proxy].info.id;
      return [&fleet, id] {
        return fleet.Everywhere([&id](const MembershipNode& node) {
          const MembershipRecord* record = node.Table().Find(id);
          return std::get<NodeState>(record->subject).info.draining;
        });
      };
    });
  }

  void SpreadsTheEndOfAPlannedStop() {
    this->Judge([](MembershipFleet& fleet) {
      const std::size_t proxy = fleet.AnyProxy(true);
      fleet.processes[proxy].node->Leave(fleet.queue.Now());
      fleet.Kill(proxy);
      return [&fleet] { return fleet.Converged(); };
    });
  }

 private:
  using Condition = std::function<bool()>;

  /** Begins an event in a fleet that has converged, for each seed, and looks
   * how long it takes until the condition that the event gives holds. */
  static void Judge(
      const std::function<Condition(MembershipFleet&)>& begin,
      const std::function<void(MembershipFleet&)>& prepare =
          [](MembershipFleet&) {}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleet fleet(Lossy(seed));
      prepare(fleet);
      const std::string name = "seed " + std::to_string(seed);
      const auto settled =
          fleet.RunUntil([&fleet] { return fleet.Converged(); }, seconds(30));
      CPPUNIT_ASSERT_MESSAGE(name + " never settled", settled.has_value());
      fleet.RunFor(milliseconds(1000 + 37 * (seed % 14)));
      const Condition holds = begin(fleet);
      const auto spent = fleet.RunUntil(holds, kLimit);
      CPPUNIT_ASSERT_MESSAGE(name + " took longer than 2 s", spent.has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipSpreadTest);

}  // namespace
}  // namespace lacewingferry
