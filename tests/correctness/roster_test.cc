#include "lacewingferry/decisions/roster/roster.h"

#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/decisions/control/control_state.h"

namespace lacewingferry {
namespace {

MemberAnnouncement Announcement(const char* id, const char* host,
                                std::uint64_t incarnation,
                                std::uint64_t sequence) {
  MemberAnnouncement announcement;
  announcement.info.id = MemberId(id);
  announcement.info.database = DatabaseId("db");
  announcement.info.endpoint = {host, 5000};
  announcement.incarnation = incarnation;
  announcement.sequence = sequence;
  return announcement;
}

RosterCommand Enter(const MemberAnnouncement& announcement) {
  return RosterCommand{EnterMember{announcement}};
}

class RosterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RosterTest);
  CPPUNIT_TEST(IgnoresANewSequence);
  CPPUNIT_TEST(IgnoresAnAnnouncementOfAnEarlierRun);
  CPPUNIT_TEST(KeepsTheLatestRunAtAnAddress);
  CPPUNIT_TEST(DelayedAnnouncementDoesNotReenterAMember);
  CPPUNIT_TEST(LeavingIsAChange);
  CPPUNIT_TEST(KeepsTheHighestConfigurationVersion);
  CPPUNIT_TEST(SnapshotRestoresTheWholeState);
  CPPUNIT_TEST(LogOfAnEarlierReleaseGivesTheSameRoster);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IgnoresANewSequence() {
    Roster roster;
    roster.Apply(Enter(Announcement("a", "h1", 5, 1)));
    CPPUNIT_ASSERT(!roster.WouldChange(Announcement("a", "h1", 5, 2)));
    CPPUNIT_ASSERT(roster.WouldChange(Announcement("a", "h2", 5, 2)));
  }

  void IgnoresAnAnnouncementOfAnEarlierRun() {
    Roster roster;
    roster.Apply(Enter(Announcement("a", "h1", 9, 1)));
    CPPUNIT_ASSERT(roster.IsOutdated(Announcement("a", "h1", 5, 70)));
    CPPUNIT_ASSERT(!roster.Apply(Enter(Announcement("a", "h1", 5, 70))));
    CPPUNIT_ASSERT(roster.Find(MemberId("a"))->incarnation == 9);
  }

  void KeepsTheLatestRunAtAnAddress() {
    Roster roster;
    roster.Apply(Enter(Announcement("a", "h1", 5, 1)));
    roster.Apply(Enter(Announcement("b", "h1", 9, 1)));
    CPPUNIT_ASSERT(roster.Find(MemberId("a")) == nullptr);
    CPPUNIT_ASSERT(roster.IsOutdated(Announcement("a", "h1", 5, 2)));
  }

  void DelayedAnnouncementDoesNotReenterAMember() {
    Roster roster;
    roster.Apply(Enter(Announcement("a", "h1", 5, 1)));
    roster.Apply(RosterCommand{LeaveMember{MemberId("a"), 5}});
    CPPUNIT_ASSERT(!roster.Apply(Enter(Announcement("a", "h1", 5, 2))));
    CPPUNIT_ASSERT(roster.Members().empty());
    CPPUNIT_ASSERT(roster.Apply(Enter(Announcement("a", "h1", 6, 1))));
  }

  void LeavingIsAChange() {
    Roster roster;
    MemberAnnouncement announcement = Announcement("a", "h1", 5, 1);
    roster.Apply(Enter(announcement));
    announcement.info.leaving = true;
    CPPUNIT_ASSERT(roster.WouldChange(announcement));
  }

  void KeepsTheHighestConfigurationVersion() {
    ControlState state;
    state.Apply(ControlCommand{ConfigurationSubmission{7, "seven"}}, 1);
    const ControlOutcome same =
        state.Apply(ControlCommand{ConfigurationSubmission{7, "other"}}, 2);
    state.Apply(ControlCommand{ConfigurationSubmission{4, "four"}}, 3);
    CPPUNIT_ASSERT(std::get<StateChange>(same) == StateChange::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string("seven"), state.Services().document);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.LastIndex());
  }

  void SnapshotRestoresTheWholeState() {
    ControlState state;
    state.Apply(ControlCommand{ConfigurationSubmission{7, "seven"}}, 1);
    state.Apply(ControlCommand{Enter(Announcement("a", "h1", 5, 1))}, 2);
    ControlState copy;
    copy.Restore(state.TakeSnapshot());
    CPPUNIT_ASSERT_EQUAL(std::string("seven"), copy.Services().document);
    CPPUNIT_ASSERT(copy.CurrentRoster().Find(MemberId("a")) != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, copy.LastIndex());
  }

  // Earlier releases wrote entries that are refused before the log now.
  // Replicas of both releases apply them alike: whoever has the address or the
  // ID goes.
  void LogOfAnEarlierReleaseGivesTheSameRoster() {
    MemberAnnouncement at_its_address = Announcement("x", "h1", 9, 1);
    at_its_address.info.database = DatabaseId("unknown");
    MemberAnnouncement under_its_id = Announcement("b", "h3", 9, 1);
    under_its_id.info.database = DatabaseId("unknown");
    ControlState state;
    std::uint64_t index = 0;
    for (const MemberAnnouncement& entry :
         {Announcement("a", "h1", 5, 1), Announcement("b", "h2", 5, 1),
          at_its_address, under_its_id, Announcement("a", "h1", 5, 2)}) {
      state.Apply(ControlCommand{Enter(entry)}, ++index);
    }
    state.Apply(ControlCommand{RosterCommand{LeaveMember{MemberId("x"), 9}}},
                ++index);
    const Roster& roster = state.CurrentRoster();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), roster.Members().size());
    const MemberAnnouncement* held = roster.Find(MemberId("b"));
    CPPUNIT_ASSERT(held->info.database == DatabaseId("unknown"));
    CPPUNIT_ASSERT(held->info.endpoint == (Endpoint{"h3", 5000}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RosterTest);

}  // namespace
}  // namespace lacewingferry
