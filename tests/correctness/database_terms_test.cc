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

/** A command with small random fields, so that commands often meet. */
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
  CPPUNIT_TEST(GoesThroughATerm);
  CPPUNIT_TEST(RefusesWhatWasDecidedInAnotherTerm);
  CPPUNIT_TEST(AdoptsOnlyAMajority);
  CPPUNIT_TEST(GivesATermOnePrimary);
  CPPUNIT_TEST(ChangesOneMemberAtATime);
  CPPUNIT_TEST(KeepsItsRulesUnderAnyCommands);
  CPPUNIT_TEST(ReturnsFromItsSnapshot);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GoesThroughATerm() {
    DatabaseTerms terms;
    CPPUNIT_ASSERT(terms.Apply(Adopt()) == CommandVerdict::kApplied);
    CPPUNIT_ASSERT(terms.Apply(Begin(1, 2)) == CommandVerdict::kApplied);
    CPPUNIT_ASSERT(terms.Find(kDatabase)->primary.Empty());
    CPPUNIT_ASSERT(terms.Apply(Choose(2, "b")) == CommandVerdict::kApplied);
    const DatabaseTerm& entry = *terms.Find(kDatabase);
    CPPUNIT_ASSERT(entry.phase == TermPhase::kPromoting);
    CPPUNIT_ASSERT(entry.primary == MemberId("b"));
    CPPUNIT_ASSERT(entry.former_primary == MemberId("a"));
    CPPUNIT_ASSERT(terms.Apply({ConfirmPrimary{kDatabase, 2}}) ==
                   CommandVerdict::kApplied);
    CPPUNIT_ASSERT(entry.phase == TermPhase::kSteady);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, terms.ChangedSince(3).size());
    CPPUNIT_ASSERT(terms.ChangedSince(4).empty());
  }

  void RefusesWhatWasDecidedInAnotherTerm() {
    DatabaseTerms terms;
    CPPUNIT_ASSERT(terms.Apply(Begin(0, 1)) == CommandVerdict::kOutdated);
    terms.Apply(Adopt());
    CPPUNIT_ASSERT(terms.Apply(Adopt()) == CommandVerdict::kRepeated);
    terms.Apply(Begin(1, 2));
    CPPUNIT_ASSERT(terms.Apply(Begin(1, 3)) == CommandVerdict::kOutdated);
    CPPUNIT_ASSERT(terms.Apply(Choose(1, "b")) == CommandVerdict::kOutdated);
    CPPUNIT_ASSERT(terms.Apply(Begin(2, 2)) == CommandVerdict::kInvalid);
    CPPUNIT_ASSERT(terms.Apply(Begin(2, 7)) == CommandVerdict::kApplied);
  }

  void AdoptsOnlyAMajority() {
    DatabaseTerms terms;
    AdoptDatabase adopt{kDatabase, 1, MemberId("a"), {MemberId("a")}, 3};
    CPPUNIT_ASSERT(terms.Apply({adopt}) == CommandVerdict::kInvalid);
    adopt.members = {MemberId("a"), MemberId("a")};
    CPPUNIT_ASSERT(terms.Apply({adopt}) == CommandVerdict::kInvalid);
    adopt.members = {MemberId("b"), MemberId("c")};
    CPPUNIT_ASSERT(terms.Apply({adopt}) == CommandVerdict::kInvalid);
    CPPUNIT_ASSERT(terms.Find(kDatabase) == nullptr);
  }

  void GivesATermOnePrimary() {
    DatabaseTerms terms;
    terms.Apply(Adopt());
    terms.Apply(Begin(1, 2));
    CPPUNIT_ASSERT(terms.Apply(Choose(2, "x")) == CommandVerdict::kInvalid);
    terms.Apply(Choose(2, "b"));
    CPPUNIT_ASSERT(terms.Apply(Choose(2, "b")) == CommandVerdict::kRepeated);
    CPPUNIT_ASSERT(terms.Apply(Choose(2, "a")) == CommandVerdict::kOutdated);
    CPPUNIT_ASSERT(terms.Find(kDatabase)->primary == MemberId("b"));
  }

  void ChangesOneMemberAtATime() {
    DatabaseTerms terms;
    terms.Apply(Adopt());
    const DatabaseCommand add{AddMember{kDatabase, 1, 1, MemberId("c")}};
    CPPUNIT_ASSERT(terms.Apply(add) == CommandVerdict::kApplied);
    CPPUNIT_ASSERT_EQUAL(3U, terms.Find(kDatabase)->group_size);
    CPPUNIT_ASSERT(terms.Apply(add) == CommandVerdict::kOutdated);
    terms.Apply({AddMember{kDatabase, 1, 2, MemberId("d")}});
    CPPUNIT_ASSERT_EQUAL(4U, terms.Find(kDatabase)->group_size);
    CPPUNIT_ASSERT(
        terms.Apply({RemoveMember{kDatabase, 1, 3, MemberId("a")}}) ==
        CommandVerdict::kInvalid);
    CPPUNIT_ASSERT(
        terms.Apply({RemoveMember{kDatabase, 1, 3, MemberId("b")}}) ==
        CommandVerdict::kApplied);
    CPPUNIT_ASSERT_EQUAL(3U, terms.Find(kDatabase)->group_size);
  }

  void KeepsItsRulesUnderAnyCommands() {
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

  void ReturnsFromItsSnapshot() {
    DatabaseTerms terms;
    terms.Apply(Adopt());
    terms.Apply(Begin(1, 2));
    const std::string bytes = detail::EncodeFields(terms);
    auto back = detail::DecodeFields<DatabaseTerms>(bytes.data(), bytes.size());
    CPPUNIT_ASSERT_EQUAL(terms.Revision(), back.Revision());
    CPPUNIT_ASSERT(back.Apply(Choose(2, "b")) == CommandVerdict::kApplied);
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
