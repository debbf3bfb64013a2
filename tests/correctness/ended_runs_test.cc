#include "lacewingferry/decisions/roster/ended_runs.h"

#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/decisions/control/control_state.h"

namespace lacewingferry {
namespace {

const DatabaseId kDatabase("db");
const MemberId kPrimary("p");
const MemberId kReplica("r");
constexpr LogPosition kLate{1, 40};

MemberAnnouncement Announcement(const MemberId& id, const char* host,
                                std::uint64_t incarnation) {
  MemberAnnouncement announcement;
  announcement.info.id = id;
  announcement.info.database = kDatabase;
  announcement.info.endpoint = {host, 5000};
  announcement.incarnation = incarnation;
  return announcement;
}

/** What the control log remembers of replicas that are gone. Guards against the
 * promotion of a stale replica after the one with the commits was forgotten. */
class EndedRunsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndedRunsTest);
  CPPUNIT_TEST(RunsThatEndAreRemembered);
  CPPUNIT_TEST(RunOfTheLeaderIsNot);
  CPPUNIT_TEST(CoveredRunRaisesTheFloor);
  CPPUNIT_TEST(ConfirmedPrimaryEndsTheWait);
  CPPUNIT_TEST(SnapshotKeepsThem);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->state = ControlState();
    this->Enter(kPrimary, "h0", 1);
    this->Enter(kReplica, "h1", 1);
    this->Enter(MemberId("s"), "h2", 1);
    this->Apply({DatabaseCommand{AdoptDatabase{
        kDatabase, 1, kPrimary, {kPrimary, kReplica, MemberId("s")}, 3}}});
    CPPUNIT_ASSERT(this->Runs().empty());
  }

  void RunsThatEndAreRemembered() {
    // A later run under its own ID, then one under another ID at its address.
    this->Enter(kReplica, "h1", 2);
    CPPUNIT_ASSERT(this->Runs().at(0).run == (MemberRun{kReplica, 1}));
    CPPUNIT_ASSERT(this->Runs().at(0).displaced);
    this->Enter(MemberId("r2"), "h1", 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->Runs().size());
    CPPUNIT_ASSERT(this->Runs().at(0).run == (MemberRun{kReplica, 2}));
    // The same run again ends nothing; a farewell does.
    this->Enter(MemberId("s"), "h2", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->Runs().size());
    this->Apply({RosterCommand{LeaveMember{MemberId("s"), 1}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->Runs().size());
    CPPUNIT_ASSERT(!this->Runs().at(1).displaced);
  }

  void RunOfTheLeaderIsNot() {
    this->Enter(MemberId("p2"), "h0", 2);
    CPPUNIT_ASSERT(this->Runs().empty());
  }

  void CoveredRunRaisesTheFloor() {
    this->Enter(kReplica, "h1", 2);
    this->Cover(2, {kReplica, 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->Runs().size());
    this->Cover(1, {kReplica, 2});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->Runs().size());
    this->Cover(1, {kReplica, 1});
    CPPUNIT_ASSERT(this->Runs().empty());
    CPPUNIT_ASSERT(this->state.Ended().Of(kDatabase).floor == kLate);
  }

  void ConfirmedPrimaryEndsTheWait() {
    this->Apply({DatabaseCommand{BeginTerm{kDatabase, 1, 2, ""}}});
    this->Enter(kReplica, "h1", 2);
    this->Apply({DatabaseCommand{
        ChoosePrimary{kDatabase, 2, MemberId("s"), kLate, 1, false}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->Runs().size());
    this->Apply({DatabaseCommand{ConfirmPrimary{kDatabase, 2, 2}}});
    CPPUNIT_ASSERT(this->Runs().empty());
    CPPUNIT_ASSERT(this->state.Ended().Of(kDatabase).floor == kLate);
    CPPUNIT_ASSERT(this->state.Terms().Find(kDatabase)->LastLeader() ==
                   MemberId("s"));
  }

  void SnapshotKeepsThem() {
    this->Enter(kReplica, "h1", 2);
    ControlState restored;
    restored.Restore(this->state.TakeSnapshot());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         restored.Ended().Of(kDatabase).runs.size());
  }

 private:
  void Apply(const ControlCommand& command) {
    this->state.Apply(command, ++this->index);
  }
  void Enter(const MemberId& id, const char* host, std::uint64_t incarnation) {
    this->Apply(
        {RosterCommand{EnterMember{Announcement(id, host, incarnation)}}});
  }
  void Cover(std::uint64_t term, const MemberRun& run) {
    this->Apply({CoverEndedRuns{kDatabase, term, {run}, kLate}});
  }
  const std::vector<EndedRun>& Runs() const {
    return this->state.Ended().Of(kDatabase).runs;
  }

  ControlState state;
  std::uint64_t index = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndedRunsTest);

}  // namespace
}  // namespace lacewingferry
