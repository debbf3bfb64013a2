#include "lacewingferry/decisions/failover/database_terms.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <vector>

#include "lacewingferry/adapters/msgpack/field_codec.h"

namespace lacewingferry {
namespace {

const DatabaseId kDatabase("permit-db-1");

DatabaseCommand Adopt() {
  return {AdoptDatabase{
      kDatabase, 1, MemberId("a"), {MemberId("a"), MemberId("b")}, 3}};
}

DatabaseCommand Begin(std::uint64_t previous, std::uint64_t term) {
  return {BeginTerm{kDatabase, previous, term, "test"}};
}

DatabaseCommand Choose(std::uint64_t term, const char* member) {
  return {ChoosePrimary{kDatabase, term, MemberId(member), {1, 9}}};
}

/** A command with small random fields, so that terms and members often
 * match. */
DatabaseCommand RandomCommand() {
  const auto term = *rc::gen::inRange<std::uint64_t>(0, 5);
  const auto other = *rc::gen::inRange<std::uint64_t>(0, 5);
  const MemberId member(
      std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 5))));
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return {BeginTerm{kDatabase, term, other, ""}};
    case 1:
      return {ChoosePrimary{kDatabase, term, member, {}}};
    case 2:
      return {ConfirmPrimary{kDatabase, term}};
    case 3:
      return {AddMember{kDatabase, term, other, member}};
    default:
      return {RemoveMember{kDatabase, term, other, member}};
  }
}

class DatabaseTermsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabaseTermsTest);
  CPPUNIT_TEST(ElectsPromotesAndConfirmsInATerm);
  CPPUNIT_TEST(RefusesCommandsOfAnotherTerm);
  CPPUNIT_TEST(AdoptsOnlyWithAMajority);
  CPPUNIT_TEST(AllowsOnePrimaryPerTerm);
  CPPUNIT_TEST(ChangesOneMemberAtATime);
  CPPUNIT_TEST(KeepsItsRulesUnderRandomCommands);
  CPPUNIT_TEST(RestoresFromItsSnapshot);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ElectsPromotesAndConfirmsInATerm() {
    DatabaseTerms terms;
    CPPUNIT_ASSERT(terms.Apply(Adopt()) == ApplyResult::kApplied);
    CPPUNIT_ASSERT(terms.Apply(Begin(1, 2)) == ApplyResult::kApplied);
    CPPUNIT_ASSERT(terms.Find(kDatabase)->primary.Empty());
    CPPUNIT_ASSERT(terms.Apply(Choose(2, "b")) == ApplyResult::kApplied);
    const DatabaseTerm& entry = *terms.Find(kDatabase);
    CPPUNIT_ASSERT(entry.phase == TermPhase::kPromoting);
    CPPUNIT_ASSERT(entry.primary == MemberId("b"));
    CPPUNIT_ASSERT(entry.former_primary == MemberId("a"));
    CPPUNIT_ASSERT(terms.Apply({ConfirmPrimary{kDatabase, 2}}) ==
                   ApplyResult::kApplied);
    CPPUNIT_ASSERT(entry.phase == TermPhase::kSteady);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, terms.ChangedSince(3).size());
    CPPUNIT_ASSERT(terms.ChangedSince(4).empty());
  }

  void RefusesCommandsOfAnotherTerm() {
    DatabaseTerms terms;
    CPPUNIT_ASSERT(terms.Apply(Begin(0, 1)) == ApplyResult::kOutdated);
    terms.Apply(Adopt());
    CPPUNIT_ASSERT(terms.Apply(Adopt()) == ApplyResult::kAlreadyApplied);
    terms.Apply(Begin(1, 2));
    CPPUNIT_ASSERT(terms.Apply(Begin(1, 3)) == ApplyResult::kOutdated);
    CPPUNIT_ASSERT(terms.Apply(Choose(1, "b")) == ApplyResult::kOutdated);
    CPPUNIT_ASSERT(terms.Apply(Begin(2, 2)) == ApplyResult::kInvalid);
    CPPUNIT_ASSERT(terms.Apply(Begin(2, 7)) == ApplyResult::kApplied);
  }

  void AdoptsOnlyWithAMajority() {
    DatabaseTerms terms;
    AdoptDatabase adopt{kDatabase, 1, MemberId("a"), {MemberId("a")}, 3};
    CPPUNIT_ASSERT(terms.Apply({adopt}) == ApplyResult::kInvalid);
    adopt.members = {MemberId("a"), MemberId("a")};
    CPPUNIT_ASSERT(terms.Apply({adopt}) == ApplyResult::kInvalid);
    adopt.members = {MemberId("b"), MemberId("c")};
    CPPUNIT_ASSERT(terms.Apply({adopt}) == ApplyResult::kInvalid);
    CPPUNIT_ASSERT(terms.Find(kDatabase) == nullptr);
  }

  void AllowsOnePrimaryPerTerm() {
    DatabaseTerms terms;
    terms.Apply(Adopt());
    terms.Apply(Begin(1, 2));
    CPPUNIT_ASSERT(terms.Apply(Choose(2, "x")) == ApplyResult::kInvalid);
    terms.Apply(Choose(2, "b"));
    CPPUNIT_ASSERT(terms.Apply(Choose(2, "b")) == ApplyResult::kAlreadyApplied);
    CPPUNIT_ASSERT(terms.Apply(Choose(2, "a")) == ApplyResult::kOutdated);
    CPPUNIT_ASSERT(terms.Find(kDatabase)->primary == MemberId("b"));
  }

  void ChangesOneMemberAtATime() {
    DatabaseTerms terms;
    terms.Apply(Adopt());
    const DatabaseCommand add{AddMember{kDatabase, 1, 1, MemberId("c")}};
    CPPUNIT_ASSERT(terms.Apply(add) == ApplyResult::kApplied);
    CPPUNIT_ASSERT_EQUAL(3U, terms.Find(kDatabase)->group_size);
    CPPUNIT_ASSERT(terms.Apply(add) == ApplyResult::kOutdated);
    terms.Apply({AddMember{kDatabase, 1, 2, MemberId("d")}});
    CPPUNIT_ASSERT_EQUAL(4U, terms.Find(kDatabase)->group_size);
    CPPUNIT_ASSERT(
        terms.Apply({RemoveMember{kDatabase, 1, 3, MemberId("a")}}) ==
        ApplyResult::kInvalid);
    CPPUNIT_ASSERT(
        terms.Apply({RemoveMember{kDatabase, 1, 3, MemberId("b")}}) ==
        ApplyResult::kApplied);
    CPPUNIT_ASSERT_EQUAL(3U, terms.Find(kDatabase)->group_size);
  }

  void KeepsItsRulesUnderRandomCommands() {
    CPPUNIT_ASSERT(rc::check([] {
      DatabaseTerms terms;
      terms.Apply(Adopt());
      std::map<std::uint64_t, std::set<MemberId>> primaries;
      std::uint64_t highest = 0;
      const auto count = *rc::gen::inRange(0, 60);
      for (int i = 0; i < count; ++i) {
        const std::size_t members = terms.Find(kDatabase)->members.size();
        terms.Apply(RandomCommand());
        const DatabaseTerm& entry = *terms.Find(kDatabase);
        RC_ASSERT(entry.term >= highest);
        highest = entry.term;
        const std::size_t after = entry.members.size();
        RC_ASSERT(after + 1 >= members && after <= members + 1);
        RC_ASSERT(after >= entry.Majority() && after <= entry.group_size);
        if (entry.primary.Empty()) continue;
        RC_ASSERT(entry.HasMember(entry.primary));
        primaries[entry.term].insert(entry.primary);
        RC_ASSERT(primaries[entry.term].size() == 1U);
      }
    }));
  }

  void RestoresFromItsSnapshot() {
    DatabaseTerms terms;
    terms.Apply(Adopt());
    terms.Apply(Begin(1, 2));
    const std::string bytes = detail::EncodeFields(terms);
    auto restored =
        detail::DecodeFields<DatabaseTerms>(bytes.data(), bytes.size());
    CPPUNIT_ASSERT_EQUAL(terms.Revision(), restored.Revision());
    CPPUNIT_ASSERT(restored.Apply(Choose(2, "b")) == ApplyResult::kApplied);
    const std::string command = detail::EncodeFields(Choose(2, "b"));
    const auto decoded =
        detail::DecodeFields<DatabaseCommand>(command.data(), command.size());
    CPPUNIT_ASSERT(std::get<ChoosePrimary>(decoded.body).position ==
                   (LogPosition{1, 9}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseTermsTest);

}  // namespace
}  // namespace lacewingferry
