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
  MemberAnnouncement announcement;
  announcement.info.id = MemberId("m" + std::to_string(member));
  announcement.info.database = DatabaseId("db" + std::to_string(member / 3));
  announcement.info.endpoint = {"10.0.0." + std::to_string(member), 5432};
  announcement.info.leaving = sequence % 2 == 0;
  announcement.sequence = sequence;
  announcement.incarnation = sequence;
  return announcement;
}

/** A roster and terms that change at random, by the commands of the control
 * log. */
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

// Guards against sending every member and term to every proxy with each change
// of one of them: with 100 proxies and 140 databases that was some gigabytes
// while the members announced themselves.
class FleetChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetChangesTest);
  CPPUNIT_TEST(ProxiesConvergeDespiteLostUpdates);
  CPPUNIT_TEST(OnlyChangesAreSent);
  CPPUNIT_TEST(UpdateOnAnUnknownBaseIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ProxiesConvergeDespiteLostUpdates() {
    const bool converged = rc::check([] {
      State state;
      FleetChanges changes;
      FleetState proxy;
      std::uint64_t assumed_revision = 0;
      const int steps = *rc::gen::inRange(1, 60);
      for (int i = 0; i < steps; ++i) {
        state.Step();
        if (*rc::gen::inRange(0, 3) == 0) continue;
        changes.Update(state.roster, state.terms, state.revision);
        const FleetState update = changes.Since(assumed_revision);
        assumed_revision = state.revision;
        const bool lost = *rc::gen::inRange(0, 3) == 0;
        if (!lost) MergeFleet(update, &proxy);
        const bool reports = *rc::gen::inRange(0, 4) == 0;
        if (reports) assumed_revision = proxy.revision;
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
    CPPUNIT_ASSERT(converged);
  }

  void OnlyChangesAreSent() {
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
    const FleetState update = changes.Since(10);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, update.base);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.members.size());
    CPPUNIT_ASSERT(update.gone == std::vector<MemberId>{MemberId("m2")});
    CPPUNIT_ASSERT(changes.Since(12).members.empty());
  }

  void UpdateOnAnUnknownBaseIsRejected() {
    FleetState proxy;
    proxy.revision = 5;
    FleetState update;
    update.revision = 9;
    update.base = 7;
    CPPUNIT_ASSERT(!MergeFleet(update, &proxy));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, proxy.revision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetChangesTest);

}  // namespace
}  // namespace lacewingferry
