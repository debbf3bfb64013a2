#include "lacewingferry/decisions/switchover/fleet_changes.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <string>

#include "lacewingferry/decisions/control/control_state.h"
#include "lacewingferry/decisions/gateway/fleet_merge.h"

namespace lacewingferry {
namespace {

constexpr int kMembers = 6;

MemberAnnouncement Announcement(int member, std::uint64_t sequence) {
  MemberAnnouncement made;
  made.info.id = MemberId("m" + std::to_string(member));
  made.info.database = DatabaseId("db" + std::to_string(member / 3));
  made.info.endpoint = {"10.0.0." + std::to_string(member), 5432};
  made.info.leaving = sequence % 2 == 0;
  made.sequence = sequence;
  made.incarnation = sequence;
  return made;
}

/** A roster and terms that change at random, as the log would have it. */
struct State {
  Roster roster;
  DatabaseTerms terms;
  std::uint64_t revision = 1;

  void Step() {
    const int member = *rc::gen::inRange(0, kMembers);
    ++this->revision;
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        this->Leave(member);
        break;
      case 1:
        this->ChangeTerm(member);
        break;
      default:
        this->roster.Apply(
            RosterCommand{EnterMember{Announcement(member, this->revision)}});
    }
  }

  void Leave(int member) {
    const MemberId id("m" + std::to_string(member));
    const MemberAnnouncement* known = this->roster.Find(id);
    if (known == nullptr) return;
    this->roster.Apply(RosterCommand{LeaveMember{id, known->incarnation}});
  }

  void ChangeTerm(int member) {
    const DatabaseId database("db" + std::to_string(member / 3));
    const DatabaseTerm* entry = this->terms.Find(database);
    if (entry == nullptr) {
      this->terms.Apply(DatabaseCommand{
          AdoptDatabase{database, 1, MemberId("m0"), {MemberId("m0")}, 3}});
    } else {
      this->terms.Apply(DatabaseCommand{
          BeginTerm{database, entry->term, entry->term + 1, "drawn"}});
    }
  }

  std::map<MemberId, std::uint64_t> MembersHeld() const {
    std::map<MemberId, std::uint64_t> held;
    for (const auto& [id, member] : this->roster.Members()) {
      held[id] = member.sequence;
    }
    return held;
  }
};

// Control sent every proxy all members and terms with each change of one: at
// 100 proxies before 140 databases some gigabytes while they announced
// themselves.
class FleetChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetChangesTest);
  CPPUNIT_TEST(ProxiesReachTheStateWhateverIsLost);
  CPPUNIT_TEST(OnlyWhatChangedIsTold);
  CPPUNIT_TEST(ChangesSinceAnUnknownStateAreNotTaken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ProxiesReachTheStateWhateverIsLost() {
    const bool reached = rc::check([] {
      State state;
      FleetChanges changes;
      FleetState proxy;
      std::uint64_t told = 0;
      const int steps = *rc::gen::inRange(1, 60);
      for (int i = 0; i < steps; ++i) {
        state.Step();
        if (*rc::gen::inRange(0, 3) == 0) continue;
        changes.Update(state.roster, state.terms, state.revision);
        const FleetState news = changes.Since(told);
        told = state.revision;
        const bool lost = *rc::gen::inRange(0, 3) == 0;
        if (!lost) MergeFleet(news, &proxy);
        const bool reports = *rc::gen::inRange(0, 4) == 0;
        if (reports) told = proxy.revision;
      }
      changes.Update(state.roster, state.terms, ++state.revision);
      MergeFleet(changes.Since(proxy.revision), &proxy);
      RC_ASSERT(proxy.revision == state.revision);
      std::map<MemberId, std::uint64_t> held;
      for (const MemberAnnouncement& member : proxy.members) {
        held[member.info.id] = member.sequence;
      }
      RC_ASSERT(held == state.MembersHeld());
      RC_ASSERT(held.size() == proxy.members.size());
      RC_ASSERT(proxy.databases.size() == state.terms.Databases().size());
      for (const DatabaseTerm& term : proxy.databases) {
        RC_ASSERT(term.term == state.terms.Find(term.database)->term);
      }
    });
    CPPUNIT_ASSERT(reached);
  }

  void OnlyWhatChangedIsTold() {
    State state;
    FleetChanges changes;
    for (int member = 0; member < kMembers; ++member) {
      state.roster.Apply(RosterCommand{EnterMember{Announcement(member, 3)}});
    }
    changes.Update(state.roster, state.terms, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMembers},
                         changes.Since(0).members.size());
    state.roster.Apply(RosterCommand{EnterMember{Announcement(1, 4)}});
    state.Leave(2);
    changes.Update(state.roster, state.terms, 12);
    const FleetState news = changes.Since(10);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, news.base);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.members.size());
    CPPUNIT_ASSERT(news.gone == std::vector<MemberId>{MemberId("m2")});
    CPPUNIT_ASSERT(changes.Since(12).members.empty());
  }

  void ChangesSinceAnUnknownStateAreNotTaken() {
    FleetState proxy;
    proxy.revision = 5;
    FleetState news;
    news.revision = 9;
    news.base = 7;
    CPPUNIT_ASSERT(!MergeFleet(news, &proxy));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, proxy.revision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetChangesTest);

}  // namespace
}  // namespace lacewingferry
