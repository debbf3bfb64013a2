#include "lacewingferry/decisions/switchover/entry_check.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace lacewingferry {
namespace {

/** An entry of few values, so that entries meet in ID, address and run. */
struct DrawnEntry {
  int id = 0;
  int host = 0;
  /** 0 and 1 are services in force. */
  int service = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool leaving = false;
};

std::ostream& operator<<(std::ostream& out, const DrawnEntry& entry) {
  return out << "{id " << entry.id << ", host " << entry.host << ", service "
             << entry.service << ", run " << entry.incarnation << ", sequence "
             << entry.sequence << (entry.leaving ? ", leaving}" : "}");
}

rc::Gen<DrawnEntry> AnyEntry() {
  return rc::gen::build<DrawnEntry>(
      rc::gen::set(&DrawnEntry::id, rc::gen::inRange(0, 3)),
      rc::gen::set(&DrawnEntry::host, rc::gen::inRange(0, 3)),
      rc::gen::set(&DrawnEntry::service, rc::gen::inRange(0, 4)),
      rc::gen::set(&DrawnEntry::incarnation,
                   rc::gen::inRange<std::uint64_t>(0, 4)),
      rc::gen::set(&DrawnEntry::sequence,
                   rc::gen::inRange<std::uint64_t>(0, 4)),
      rc::gen::set(&DrawnEntry::leaving));
}

MemberAnnouncement AnnouncementOf(const DrawnEntry& entry) {
  MemberAnnouncement announcement;
  announcement.info.id = MemberId("m" + std::to_string(entry.id));
  announcement.info.endpoint = {"h" + std::to_string(entry.host), 5000};
  announcement.info.database =
      DatabaseId("service-" + std::to_string(entry.service));
  announcement.info.leaving = entry.leaving;
  announcement.incarnation = entry.incarnation;
  announcement.sequence = entry.sequence;
  return announcement;
}

ServiceConfiguration TwoServices() {
  ServiceConfiguration configuration;
  configuration.version = 1;
  configuration.services = {{DatabaseId("service-0"), 60, 1},
                            {DatabaseId("service-1"), 60, 1}};
  return configuration;
}

/** Why an entry may not have turned one roster into the next; empty if it
 * may. */
std::string Violation(const Roster& before, const Roster& after,
                      const MemberAnnouncement& entry) {
  const MemberInfo& info = entry.info;
  const bool in_force = TwoServices().FindService(info.database) != nullptr;
  for (const auto& [id, known] : before.Members()) {
    const MemberAnnouncement* now = after.Find(id);
    const bool ended = now == nullptr || now->incarnation != known.incarnation;
    if (ended && !in_force) return "a run ended for an unknown service";
    const bool began_anew = id == info.id &&
                            known.info.database == info.database &&
                            known.incarnation < entry.incarnation;
    const bool replaced = known.info.endpoint == info.endpoint &&
                          known.incarnation <= entry.incarnation;
    if (ended && !began_anew && !replaced) return "a run of another ended";
    if (ended || now == nullptr) continue;
    if (now->info.database != known.info.database) return "a service changed";
    if (!(now->info.endpoint == known.info.endpoint)) {
      return "a run changed its address";
    }
  }
  for (const auto& [id, known] : after.Members()) {
    const bool entered = before.Find(id) == nullptr;
    if (entered && !in_force) return "an unknown service was entered";
  }
  return "";
}

// Guards against entries that end the runs of members that they don't come
// from (review/6).
class EntryCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryCheckTest);
  CPPUNIT_TEST(EntriesEndOnlyWhatTheyMay);
  CPPUNIT_TEST(MemberOfAWithdrawnServiceMaySayThatItLeaves);
  CPPUNIT_TEST(RunThatAnEarlierReleaseLetBeEndedComesBackWithARestart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EntriesEndOnlyWhatTheyMay() {
    const bool held = rc::check("entries end only what they may", [] {
      const auto entries =
          *rc::gen::container<std::vector<DrawnEntry>>(AnyEntry());
      Roster roster;
      for (const DrawnEntry& drawn : entries) {
        const MemberAnnouncement entry = AnnouncementOf(drawn);
        const EntryDecision decision = CheckEntry(roster, TwoServices(), entry);
        if (decision.verdict != EntryVerdict::kAccepted) continue;
        const Roster before = roster;
        roster.Apply(RosterCommand{EnterMember{entry}});
        RC_ASSERT(Violation(before, roster, entry) == "");
      }
    });
    CPPUNIT_ASSERT(held);
  }

  void MemberOfAWithdrawnServiceMaySayThatItLeaves() {
    Roster roster;
    MemberAnnouncement entry = AnnouncementOf({0, 0, 2, 1, 1, false});
    roster.Apply(RosterCommand{EnterMember{entry}});
    entry.info.leaving = true;
    CPPUNIT_ASSERT(CheckEntry(roster, TwoServices(), entry).verdict ==
                   EntryVerdict::kAccepted);
  }

  // The roster holds an entry for an unknown service, under the ID of a member
  // and at the address of another.
  void RunThatAnEarlierReleaseLetBeEndedComesBackWithARestart() {
    Roster roster;
    roster.Apply(
        RosterCommand{EnterMember{AnnouncementOf({0, 1, 3, 2, 1, false})}});
    const ServiceConfiguration configuration = TwoServices();
    for (const int member : {0, 1}) {
      const MemberAnnouncement earlier =
          AnnouncementOf({member, member, 0, 1, 1, false});
      CPPUNIT_ASSERT(CheckEntry(roster, configuration, earlier).verdict ==
                     EntryVerdict::kOutdated);
    }
    for (const int member : {0, 1}) {
      const MemberAnnouncement restarted =
          AnnouncementOf({member, member, 0, 3, 1, false});
      CPPUNIT_ASSERT(CheckEntry(roster, configuration, restarted).verdict ==
                     EntryVerdict::kAccepted);
      roster.Apply(RosterCommand{EnterMember{restarted}});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), roster.Members().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryCheckTest);

}  // namespace
}  // namespace lacewingferry
