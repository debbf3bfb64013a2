#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "bench/model/switchover_fleet.h"

namespace lacewingferry {
namespace {

using model::SwitchoverFleet;
using std::chrono::milliseconds;

const MemberId kFirst{"m0"};
const MemberId kSecond{"m1"};
const MemberId kThird{"m2"};

/** Runs with a commit each 20 ms. */
void RunWithCommits(SwitchoverFleet& fleet, milliseconds length) {
  constexpr milliseconds kBetween{20};
  for (milliseconds passed{0}; passed < length; passed += kBetween) {
    fleet.Commit();
    fleet.Run(kBetween);
  }
}

void AssertSafe(const SwitchoverFleet& fleet) {
  CPPUNIT_ASSERT(!fleet.lost_commit);
  CPPUNIT_ASSERT(!fleet.promoted_under_lease);
}

/** One replica receives nothing; then both members that have all are lost. */
void LeaveOnlyTheDeafReplica(SwitchoverFleet& fleet) {
  fleet.Start();
  fleet.members[kSecond].receives = false;
  RunWithCommits(fleet, milliseconds(500));
  fleet.members[kThird].reachable = false;
  fleet.members[kFirst].reachable = false;
  fleet.Run(milliseconds(5000));
}

bool Steady(const SwitchoverFleet& fleet) {
  return fleet.Term()->phase == TermPhase::kSteady;
}

class SwitchoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SwitchoverTest);
  CPPUNIT_TEST(AdoptsThePrimaryThatLeads);
  CPPUNIT_TEST(ReplacesALostPrimary);
  CPPUNIT_TEST(ChoosesTheReplicaThatHasAll);
  CPPUNIT_TEST(MissingReplicaProvesNothing);
  CPPUNIT_TEST(ComesBackToAPrimaryThatReturns);
  CPPUNIT_TEST(WaitsOutALeaseThatCannotBeRecalled);
  CPPUNIT_TEST(LeavingPrimaryIsReplaced);
  CPPUNIT_TEST(BusyPrimaryIsNotLost);
  CPPUNIT_TEST(OverloadedPrimaryIsNotReplaced);
  CPPUNIT_TEST(PositionBeyondTheReplicasIsNotWaitedForForEver);
  CPPUNIT_TEST(SuspensionOfControlProvesNoSilence);
  CPPUNIT_TEST(NewLeaderWaitsForLeasesOfTheFormer);
  CPPUNIT_TEST(NoPromotionAfterTheOfficeIsLost);
  CPPUNIT_TEST(ChosenMemberThatDiesIsReplaced);
  CPPUNIT_TEST(ReplicasThatAnotherLeaderLeftPausedAreReleased);
  CPPUNIT_TEST(OnlyAnswersThatDoNotArriveCallForANewConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AdoptsThePrimaryThatLeads() {
    SwitchoverFleet fleet;
    fleet.Start();
    CPPUNIT_ASSERT(fleet.Term() != nullptr);
    CPPUNIT_ASSERT(fleet.Term()->primary == kFirst);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.Term()->members.size());
  }

  void ReplacesALostPrimary() {
    SwitchoverFleet fleet;
    fleet.Start();
    RunWithCommits(fleet, milliseconds(1000));
    CPPUNIT_ASSERT(fleet.acknowledged.offset > 0);
    fleet.members[kFirst].reachable = false;
    fleet.members[kFirst].primary = false;
    const auto lost = fleet.Now();
    fleet.Run(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(1, fleet.promotions);
    CPPUNIT_ASSERT(Steady(fleet) && fleet.Term()->primary != kFirst);
    CPPUNIT_ASSERT(*fleet.promoted_at - lost < milliseconds(1800));
    AssertSafe(fleet);
  }

  // replica_lag 'deaf crash': one replica receives nothing, and the primary
  // crashes meanwhile.
  void ChoosesTheReplicaThatHasAll() {
    SwitchoverFleet fleet;
    fleet.Start();
    RunWithCommits(fleet, milliseconds(500));
    fleet.members[kSecond].receives = false;
    RunWithCommits(fleet, milliseconds(500));
    fleet.members[kFirst].reachable = false;
    fleet.members[kFirst].primary = false;
    fleet.Run(milliseconds(4000));
    CPPUNIT_ASSERT(fleet.Term()->primary == kThird);
    AssertSafe(fleet);
  }

  void MissingReplicaProvesNothing() {
    SwitchoverFleet fleet;
    LeaveOnlyTheDeafReplica(fleet);
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
    fleet.members[kThird].reachable = true;
    fleet.Run(milliseconds(3000));
    CPPUNIT_ASSERT(fleet.Term()->primary == kThird);
    AssertSafe(fleet);
  }

  void ComesBackToAPrimaryThatReturns() {
    SwitchoverFleet fleet;
    LeaveOnlyTheDeafReplica(fleet);
    fleet.members[kFirst].reachable = true;
    fleet.Run(milliseconds(3000));
    CPPUNIT_ASSERT(Steady(fleet) && fleet.Term()->primary == kFirst);
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
    CPPUNIT_ASSERT(fleet.members[kSecond].paused_term == 0);
    AssertSafe(fleet);
  }

  // A leader that pauses replicas, keeps the primary and loses its office at
  // once leaves a steady term in which nothing confirms a write.
  void ReplicasThatAnotherLeaderLeftPausedAreReleased() {
    SwitchoverFleet fleet;
    fleet.Start();
    for (const MemberId& id : {kSecond, kThird}) {
      fleet.members[id].paused_term = 2;
    }
    fleet.TakeOffice(false);
    fleet.TakeOffice(true);
    fleet.members[kThird].busy = true;
    fleet.Run(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.members[kSecond].paused_term);
    fleet.members[kThird].busy = false;
    fleet.Run(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.members[kThird].paused_term);
    AssertSafe(fleet);
  }

  // Reports from before the election had no answer, which says nothing of the
  // new leader's way to the proxy.
  void OnlyAnswersThatDoNotArriveCallForANewConnection() {
    SwitchoverFleet fleet;
    const NodeId proxy("p0");
    fleet.proxies_report = false;
    fleet.Start();
    fleet.ReportUnanswered(proxy, 5);
    fleet.ReportUnanswered(proxy, 6);
    CPPUNIT_ASSERT_EQUAL(0, fleet.redials);
    fleet.ReportUnanswered(proxy, 7);
    CPPUNIT_ASSERT_EQUAL(1, fleet.redials);
    fleet.ReportUnanswered(proxy, 8);
    CPPUNIT_ASSERT_EQUAL(1, fleet.redials);
  }

  void WaitsOutALeaseThatCannotBeRecalled() {
    SwitchoverFleet fleet;
    fleet.Start();
    RunWithCommits(fleet, milliseconds(1000));
    fleet.proxies[NodeId("p1")].reachable = false;
    fleet.members[kFirst].reachable = false;
    fleet.members[kFirst].primary = false;
    fleet.Run(milliseconds(1900));
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
    fleet.Run(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(1, fleet.promotions);
    AssertSafe(fleet);
  }

  void LeavingPrimaryIsReplaced() {
    SwitchoverFleet fleet;
    fleet.Start();
    RunWithCommits(fleet, milliseconds(500));
    fleet.Announce(kFirst, true);
    const auto told = fleet.Now();
    RunWithCommits(fleet, milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(1, fleet.promotions);
    CPPUNIT_ASSERT(fleet.Term()->primary != kFirst);
    CPPUNIT_ASSERT(*fleet.promoted_at - told < milliseconds(1200));
    AssertSafe(fleet);
  }

  void BusyPrimaryIsNotLost() {
    SwitchoverFleet fleet;
    fleet.Start();
    fleet.members[kFirst].busy = true;
    fleet.Run(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.Term()->term);
  }

  // Found by the own day promote-in-freeze, seed 11: the only member that was
  // left of a group answered control too late, under the load of all three. It
  // was taken for lost, and its replacement never found a successor.
  void OverloadedPrimaryIsNotReplaced() {
    SwitchoverFleet fleet;
    fleet.Start();
    fleet.members[kFirst].slow = true;
    fleet.Run(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.Term()->term);
    fleet.members[kFirst].slow = false;
    fleet.Run(milliseconds(1000));
    fleet.members[kFirst].slow = true;
    fleet.Run(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.Term()->term);
    // One that hangs for good is replaced.
    fleet.Run(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(1, fleet.promotions);
    AssertSafe(fleet);
  }

  // The second half of the same finding: a position that a proxy saw with its
  // answer counts commits of others that no replica has received.
  void PositionBeyondTheReplicasIsNotWaitedForForEver() {
    SwitchoverFleet fleet;
    fleet.Start();
    RunWithCommits(fleet, milliseconds(500));
    for (auto& proxy : fleet.proxies) {
      proxy.second.acknowledged.offset += 3;
    }
    fleet.members[kFirst].reachable = false;
    fleet.members[kFirst].primary = false;
    fleet.Run(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
    fleet.Run(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(1, fleet.promotions);
    AssertSafe(fleet);
  }

  void SuspensionOfControlProvesNoSilence() {
    SwitchoverFleet fleet;
    fleet.Start();
    fleet.members[kFirst].reachable = false;
    fleet.Run(milliseconds(300));
    fleet.Suspend(milliseconds(4000));
    fleet.members[kFirst].reachable = true;
    fleet.Run(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
  }

  void NewLeaderWaitsForLeasesOfTheFormer() {
    SwitchoverFleet fleet;
    fleet.Start();
    RunWithCommits(fleet, milliseconds(1000));
    // The new leader doesn't know the holders and can't recall their leases.
    fleet.proxies_report = false;
    fleet.TakeOffice(false);
    fleet.TakeOffice(true);
    const auto taken = fleet.Now();
    fleet.members[kFirst].reachable = false;
    fleet.members[kFirst].primary = false;
    fleet.Run(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(1, fleet.promotions);
    CPPUNIT_ASSERT(*fleet.promoted_at - taken >= milliseconds(2500));
    AssertSafe(fleet);
  }

  void NoPromotionAfterTheOfficeIsLost() {
    SwitchoverFleet fleet;
    fleet.Start();
    fleet.members[kFirst].reachable = false;
    while (fleet.Term()->phase != TermPhase::kPromoting) {
      fleet.Run(milliseconds(1));
    }
    // Another leads now, and this process hasn't heard of it.
    fleet.leads = false;
    fleet.Run(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
  }

  void ChosenMemberThatDiesIsReplaced() {
    SwitchoverFleet fleet;
    fleet.Start();
    RunWithCommits(fleet, milliseconds(500));
    fleet.members[kFirst].reachable = false;
    fleet.members[kFirst].primary = false;
    while (fleet.Term()->phase != TermPhase::kPromoting) {
      fleet.Run(milliseconds(1));
    }
    const MemberId chosen = fleet.Term()->primary;
    fleet.members[chosen].reachable = false;
    fleet.Run(milliseconds(3000));
    fleet.members[chosen].reachable = true;
    fleet.Run(milliseconds(8000));
    CPPUNIT_ASSERT(Steady(fleet));
    AssertSafe(fleet);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SwitchoverTest);

}  // namespace
}  // namespace lacewingferry
