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

/** 20 proxies and 3 control processes in 3 zones; 5 % of messages are lost. */
MembershipFleetSettings Lossy(std::uint64_t seed) {
  MembershipFleetSettings settings;
  settings.seed = seed;
  settings.loss = 0.05;
  settings.doubled = 0.02;
  return settings;
}

/** Checks with each seed that an event reaches all proxies and control
 * processes within 2 s. */
class MembershipSpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipSpreadTest);
  CPPUNIT_TEST(SpreadsAnAnnouncement);
  CPPUNIT_TEST(SpreadsLeavingDespiteARelayFailure);
  CPPUNIT_TEST(SpreadsAMemberFailure);
  CPPUNIT_TEST(SpreadsAProxyFailure);
  CPPUNIT_TEST(SpreadsARelayFailure);
  CPPUNIT_TEST(SpreadsDraining);
  CPPUNIT_TEST(SpreadsAPlannedStop);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SpreadsAnAnnouncement() {
    this->CheckSpread(
        [](MembershipFleet& fleet) {
          fleet.members[kMember].up = true;
          return [&fleet] { return fleet.Converged(); };
        },
        [](MembershipFleet& fleet) { fleet.members[kMember].up = false; });
  }

  void SpreadsLeavingDespiteARelayFailure() {
    this->CheckSpread([](MembershipFleet& fleet) {
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

  void SpreadsAMemberFailure() {
    this->CheckSpread([](MembershipFleet& fleet) {
      fleet.members[kMember].up = false;
      return [&fleet] { return fleet.Converged(); };
    });
  }

  void SpreadsAProxyFailure() {
    this->CheckSpread([](MembershipFleet& fleet) {
      fleet.Kill(fleet.AnyProxy(false));
      return [&fleet] { return fleet.Converged(); };
    });
  }

  void SpreadsARelayFailure() {
    this->CheckSpread([](MembershipFleet& fleet) {
      fleet.Kill(fleet.AnyProxy(true));
      return [&fleet] { return fleet.Converged(); };
    });
  }

  void SpreadsDraining() {
    this->CheckSpread([](MembershipFleet& fleet) {
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

  void SpreadsAPlannedStop() {
    this->CheckSpread([](MembershipFleet& fleet) {
      const std::size_t proxy = fleet.AnyProxy(true);
      fleet.processes[proxy].node->Leave(fleet.queue.Now());
      fleet.Kill(proxy);
      return [&fleet] { return fleet.Converged(); };
    });
  }

 private:
  using Condition = std::function<bool()>;

  /** For each seed, triggers an event in a converged fleet and checks that the
   * condition which the event returns holds within kLimit. */
  static void CheckSpread(
      const std::function<Condition(MembershipFleet&)>& trigger,
      const std::function<void(MembershipFleet&)>& prepare =
          [](MembershipFleet&) {}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleet fleet(Lossy(seed));
      prepare(fleet);
      const std::string name = "seed " + std::to_string(seed);
      const auto converged =
          fleet.RunUntil([&fleet] { return fleet.Converged(); }, seconds(30));
      CPPUNIT_ASSERT_MESSAGE(name + " did not converge within 30 s",
                             converged.has_value());
      fleet.RunFor(milliseconds(1000 + 37 * (seed % 14)));
      const Condition holds = trigger(fleet);
      const auto duration = fleet.RunUntil(holds, kLimit);
      CPPUNIT_ASSERT_MESSAGE(
          name + ": the event did not reach all processes within 2 s",
          duration.has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipSpreadTest);

}  // namespace
}  // namespace lacewingferry
