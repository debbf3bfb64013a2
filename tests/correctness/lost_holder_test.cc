#include <cppunit/extensions/HelperMacros.h>

#include "bench/model/switchover_fleet.h"

namespace lacewingferry {
namespace {

using model::SwitchoverFleet;
using model::SwitchoverRestart;
using std::chrono::milliseconds;

const MemberId kPrimary{"m0"};
const MemberId kStale{"m1"};
const MemberId kHolder{"m2"};

/** Longer than any wait of a choice. */
constexpr milliseconds kLongWait{8000};
/** A term begins within this time of the loss of its primary. */
constexpr milliseconds kDetectionTime{1000};
constexpr SwitchoverRestart kEmptyUnderANewId{false, true};
constexpr SwitchoverRestart kEmptyUnderItsId{false, false};
constexpr SwitchoverRestart kEmptyBehindACut{false, false, true};
constexpr SwitchoverRestart kWithItsLog{true, false};

void RunWithCommits(SwitchoverFleet& fleet, milliseconds length) {
  constexpr milliseconds kCommitInterval{20};
  for (milliseconds elapsed{0}; elapsed < length; elapsed += kCommitInterval) {
    fleet.Commit();
    fleet.Run(kCommitInterval);
  }
}

/** A group in which m1 has received nothing for two seconds, so that the
 * commits acknowledged since are on m0, the primary, and on m2 alone. */
void StartWithOneHolder(SwitchoverFleet& fleet) {
  fleet.Start();
  RunWithCommits(fleet, milliseconds(500));
  fleet.members[kStale].receives = false;
  RunWithCommits(fleet, milliseconds(2000));
}

void AssertNothingLost(const SwitchoverFleet& fleet) {
  CPPUNIT_ASSERT(!fleet.lost_commit);
  CPPUNIT_ASSERT(!fleet.promoted_under_lease);
}

/** A primary that comes back has every commit, and serves again. */
void AssertServesOnceThePrimaryIsBack(SwitchoverFleet& fleet) {
  fleet.Restart(kPrimary, kWithItsLog);
  fleet.members[kStale].receives = true;
  const LogPosition before = fleet.acknowledged;
  RunWithCommits(fleet, milliseconds(5000));
  CPPUNIT_ASSERT(before < fleet.acknowledged);
  AssertNothingLost(fleet);
}

// The incident of 164 lost commits: the only replica that had acknowledged
// commits was gone, and the stale one was promoted.
class LostHolderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostHolderTest);
  CPPUNIT_TEST(HolderThatCameBackEmptyUnderANewIdProvesNothing);
  CPPUNIT_TEST(HolderThatCameBackEmptyUnderItsIdProvesNothing);
  CPPUNIT_TEST(HolderThatCameBackEmptyIsRememberedByANewLeader);
  CPPUNIT_TEST(HolderThatCameBackEmptyUnseenProvesNothing);
  CPPUNIT_TEST(HolderThatLeftProvesNothing);
  CPPUNIT_TEST(HolderThatLeftLongAgoIsRemembered);
  CPPUNIT_TEST(HolderThatLeftIsRememberedByANewLeader);
  CPPUNIT_TEST(HolderCountsUntilItsProcessEnds);
  CPPUNIT_TEST(ChosenHolderThatCameBackEmptyProvesNothing);
  CPPUNIT_TEST(MembersThatAllCameBackUnderNewIdsServeAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HolderThatCameBackEmptyUnderANewIdProvesNothing() {
    LoseTheHolderAndThePrimary(kEmptyUnderANewId, false);
  }

  void HolderThatCameBackEmptyUnderItsIdProvesNothing() {
    LoseTheHolderAndThePrimary(kEmptyUnderItsId, false);
  }

  void HolderThatCameBackEmptyIsRememberedByANewLeader() {
    LoseTheHolderAndThePrimary(kEmptyUnderANewId, true);
    LoseTheHolderAndThePrimary(kEmptyUnderItsId, true);
  }

  // Control reaches it before it has announced its new run.
  void HolderThatCameBackEmptyUnseenProvesNothing() {
    for (const bool new_leader : {false, true}) {
      SwitchoverFleet fleet;
      StartWithOneHolder(fleet);
      fleet.Crash(kHolder);
      fleet.Restart(kHolder, kEmptyBehindACut);
      fleet.Crash(kPrimary);
      fleet.Run(kDetectionTime);
      if (new_leader) {
        fleet.TakeOffice(false);
        fleet.TakeOffice(true);
      }
      fleet.members[kHolder].reachable = true;
      fleet.Run(kLongWait);
      CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
      AssertServesOnceThePrimaryIsBack(fleet);
    }
  }

  void HolderThatLeftLongAgoIsRemembered() {
    for (const bool new_leader : {false, true}) {
      SwitchoverFleet fleet;
      StartWithOneHolder(fleet);
      fleet.Leave(kHolder);
      fleet.Run(kLongWait);
      fleet.Crash(kPrimary);
      fleet.Run(kDetectionTime);
      if (new_leader) {
        fleet.TakeOffice(false);
        fleet.TakeOffice(true);
      }
      fleet.Run(kLongWait);
      CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
      AssertServesOnceThePrimaryIsBack(fleet);
    }
  }

  void HolderThatLeftProvesNothing() {
    SwitchoverFleet fleet;
    StartWithOneHolder(fleet);
    fleet.Leave(kHolder);
    fleet.Crash(kPrimary);
    fleet.Run(kLongWait);
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
    AssertServesOnceThePrimaryIsBack(fleet);
  }

  void HolderThatLeftIsRememberedByANewLeader() {
    SwitchoverFleet fleet;
    StartWithOneHolder(fleet);
    fleet.Leave(kHolder);
    fleet.Crash(kPrimary);
    fleet.Run(kDetectionTime);
    fleet.TakeOffice(false);
    fleet.TakeOffice(true);
    fleet.Run(kLongWait);
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
    AssertServesOnceThePrimaryIsBack(fleet);
  }

  // It acknowledges commits after its farewell, and after the stale replica has
  // caught up for a moment.
  void HolderCountsUntilItsProcessEnds() {
    SwitchoverFleet fleet;
    StartWithOneHolder(fleet);
    fleet.SayFarewell(kHolder);
    RunWithCommits(fleet, milliseconds(800));
    fleet.members[kStale].receives = true;
    RunWithCommits(fleet, milliseconds(100));
    fleet.members[kStale].receives = false;
    RunWithCommits(fleet, milliseconds(800));
    fleet.Crash(kHolder);
    fleet.Crash(kPrimary);
    fleet.Run(kLongWait);
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
    AssertServesOnceThePrimaryIsBack(fleet);
  }

  void ChosenHolderThatCameBackEmptyProvesNothing() {
    SwitchoverFleet fleet;
    StartWithOneHolder(fleet);
    fleet.Crash(kPrimary);
    while (fleet.Term()->phase != TermPhase::kPromoting) {
      fleet.Run(milliseconds(10));
    }
    CPPUNIT_ASSERT(fleet.Term()->primary == kHolder);
    fleet.Crash(kHolder);
    fleet.Run(kDetectionTime);
    fleet.Restart(kHolder, kEmptyUnderItsId);
    fleet.Run(kLongWait);
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
    AssertServesOnceThePrimaryIsBack(fleet);
  }

  // review/4: the primary came back with its log under another ID, was paused
  // as if it were a replica, and waited for without an end.
  void MembersThatAllCameBackUnderNewIdsServeAgain() {
    SwitchoverFleet fleet;
    StartWithOneHolder(fleet);
    for (const MemberId& id : {kPrimary, kStale, kHolder}) fleet.Crash(id);
    fleet.Run(kDetectionTime);
    fleet.Restart(kStale, kEmptyUnderANewId);
    fleet.Restart(kHolder, kEmptyUnderANewId);
    fleet.Restart(kPrimary, {true, true});
    const LogPosition before = fleet.acknowledged;
    RunWithCommits(fleet, milliseconds(5000));
    CPPUNIT_ASSERT(before < fleet.acknowledged);
    AssertNothingLost(fleet);
  }

 private:
  static void LoseTheHolderAndThePrimary(const SwitchoverRestart& restart,
                                         bool new_leader) {
    SwitchoverFleet fleet;
    StartWithOneHolder(fleet);
    fleet.Crash(kHolder);
    fleet.Crash(kPrimary);
    fleet.Run(kDetectionTime);
    if (new_leader) {
      fleet.TakeOffice(false);
      fleet.TakeOffice(true);
    }
    fleet.Restart(kHolder, restart);
    fleet.Run(kLongWait);
    CPPUNIT_ASSERT_EQUAL(0, fleet.promotions);
    AssertServesOnceThePrimaryIsBack(fleet);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostHolderTest);

}  // namespace
}  // namespace lacewingferry
