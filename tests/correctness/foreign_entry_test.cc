#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "bench/model/switchover_fleet.h"

namespace lacewingferry {
namespace {

using model::SwitchoverFleet;
using std::chrono::milliseconds;

const MemberId kPrimary{"m0"};
const MemberId kHolder{"m1"};
const MemberId kBehind{"m2"};
const DatabaseId kOtherService{"billing"};

/** Runs with a commit every 20 ms. */
void RunWithCommits(SwitchoverFleet& fleet, milliseconds length) {
  constexpr milliseconds kCommitInterval{20};
  for (milliseconds elapsed{0}; elapsed < length; elapsed += kCommitInterval) {
    fleet.Commit();
    fleet.Run(kCommitInterval);
  }
}

/** Only the holder receives; then the primary crashes. */
void LoseAllButTheHolder(SwitchoverFleet& fleet) {
  fleet.members[kBehind].receives = false;
  RunWithCommits(fleet, milliseconds(2000));
  fleet.Crash(kPrimary);
  fleet.Run(milliseconds(4500));
  fleet.members[kBehind].receives = true;
  fleet.Run(milliseconds(4000));
}

/** The entry of another writer for the place of a member, newer than any. */
MemberAnnouncement Foreign(const SwitchoverFleet& fleet, const MemberId& place,
                           const MemberId& id) {
  MemberAnnouncement entry = fleet.AnnouncementOf(place);
  entry.info.id = id;
  entry.info.database = kOtherService;
  entry.incarnation += 1000;
  entry.sequence = 1;
  return entry;
}

// Guards against the loss of acknowledged commits after an entry of another
// writer took a replica that runs off the list, so that a stale one was taken
// for the newest (review/6).
class ForeignEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignEntryTest);
  CPPUNIT_TEST(UnknownServiceAtAMembersAddress);
  CPPUNIT_TEST(UnknownServiceUnderAMembersId);
  CPPUNIT_TEST(EntryWithoutARunUnderAMembersId);
  CPPUNIT_TEST(NothingIsEnteredBeforeAConfiguration);
  CPPUNIT_TEST(LateFarewellEndsNoLaterRun);
  CPPUNIT_TEST(RunThatAnswersIsNotOver);
  CPPUNIT_TEST(DisplacedRunThatIsSilentIsNotOver);
  CPPUNIT_TEST(RejectedEntriesAreTold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnknownServiceAtAMembersAddress() {
    SwitchoverFleet fleet;
    fleet.Start();
    fleet.Deliver(Foreign(fleet, kHolder, MemberId("another")));
    RunWithCommits(fleet, milliseconds(1000));
    AssertHolderIsPromoted(fleet);
  }

  void UnknownServiceUnderAMembersId() {
    SwitchoverFleet fleet;
    fleet.Start();
    fleet.Deliver(Foreign(fleet, kHolder, kHolder));
    RunWithCommits(fleet, milliseconds(1000));
    AssertHolderIsPromoted(fleet);
  }

  // No later start, but a higher sequence and another address.
  void EntryWithoutARunUnderAMembersId() {
    SwitchoverFleet fleet;
    fleet.Start();
    MemberAnnouncement entry = fleet.AnnouncementOf(kHolder);
    entry.info.endpoint.host = "elsewhere";
    entry.sequence = 1000;
    fleet.Deliver(entry);
    RunWithCommits(fleet, milliseconds(1000));
    AssertHolderIsPromoted(fleet);
  }

  // Before the first configuration no service is known.
  void NothingIsEnteredBeforeAConfiguration() {
    SwitchoverFleet fleet;
    fleet.TakeOffice(true);
    fleet.Control().SetConfiguration(ServiceConfiguration());
    fleet.Deliver(Foreign(fleet, kHolder, MemberId("another")));
    fleet.Run(milliseconds(200));
    CPPUNIT_ASSERT(fleet.verdicts.at(0) == AnnouncementResult::kUnknown);
    CPPUNIT_ASSERT(fleet.State().CurrentRoster().Members().empty());
  }

  // A farewell that was held up until its member ran again under its ID.
  void LateFarewellEndsNoLaterRun() {
    SwitchoverFleet fleet;
    fleet.Start();
    const MemberFarewell late{kHolder, fleet.members[kHolder].run};
    fleet.Crash(kHolder);
    fleet.Restart(kHolder, {false, false});
    RunWithCommits(fleet, milliseconds(1500));
    fleet.Deliver(late);
    RunWithCommits(fleet, milliseconds(1000));
    CPPUNIT_ASSERT(fleet.verdicts.back() == AnnouncementResult::kAccepted);
    AssertHolderIsPromoted(fleet);
  }

  // The second wall: an entry of a service that is in force takes the address,
  // and the run that it displaced isn't over while it answers.
  void RunThatAnswersIsNotOver() {
    SwitchoverFleet fleet;
    fleet.Start();
    DisplaceHolder(fleet);
    AssertNotOver(fleet);
  }

  // Nor while it gives no answer: control alone may not reach it.
  void DisplacedRunThatIsSilentIsNotOver() {
    SwitchoverFleet fleet;
    fleet.Start();
    fleet.members[kHolder].reachable = false;
    DisplaceHolder(fleet);
    AssertNotOver(fleet);
  }

  void RejectedEntriesAreTold() {
    SwitchoverFleet fleet;
    fleet.Start();
    fleet.events.clear();
    for (int i = 0; i < 1000; ++i) {
      fleet.Deliver(
          Foreign(fleet, kHolder, MemberId("another" + std::to_string(i))));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000),
                         fleet.Control().RejectedAnnouncements());
    // Bounded, and each with the run that has the address.
    CPPUNIT_ASSERT(!fleet.events.empty() && fleet.events.size() <= 20);
    const Event& told = fleet.events.front();
    CPPUNIT_ASSERT(told.code == EventCode::kAnnouncementRejected);
    const std::pair<std::string, std::string> holders{"holders", "m1@1"};
    CPPUNIT_ASSERT(
        std::count(told.fields.begin(), told.fields.end(), holders) == 1);
  }

 private:
  /** Another service that is in force takes the holder's address. */
  static void DisplaceHolder(SwitchoverFleet& fleet) {
    ServiceConfiguration configuration;
    configuration.version = 2;
    configuration.services = {{model::kSwitchoverDatabase, 60, 1},
                              {kOtherService, 60, 1}};
    fleet.Control().SetConfiguration(configuration);
    fleet.Deliver(Foreign(fleet, kHolder, MemberId("another")));
    RunWithCommits(fleet, milliseconds(2000));
    CPPUNIT_ASSERT(fleet.State().CurrentRoster().Find(kHolder) == nullptr);
  }

  static void AssertNotOver(SwitchoverFleet& fleet) {
    const EndedRunsOfDatabase& ended =
        fleet.State().Ended().Of(model::kSwitchoverDatabase);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ended.runs.size());
    LoseAllButTheHolder(fleet);
    CPPUNIT_ASSERT(!fleet.lost_commit);
  }

  static void AssertHolderIsPromoted(SwitchoverFleet& fleet) {
    CPPUNIT_ASSERT(fleet.State().CurrentRoster().Find(kHolder) != nullptr);
    LoseAllButTheHolder(fleet);
    CPPUNIT_ASSERT(!fleet.lost_commit);
    CPPUNIT_ASSERT(fleet.Term()->phase == TermPhase::kSteady);
    CPPUNIT_ASSERT(fleet.Term()->primary == kHolder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignEntryTest);

}  // namespace
}  // namespace lacewingferry
