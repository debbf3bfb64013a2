#include "lacewingferry/decisions/configuration/note_application.h"

#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/decisions/configuration/history_limits.h"
#include "tests/support/note_samples.h"

namespace lacewingferry {
namespace {

class NoteApplicationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NoteApplicationTest);
  CPPUNIT_TEST(AcceptsTheFirstNote);
  CPPUNIT_TEST(NamesTheWinnerOfARace);
  CPPUNIT_TEST(GivesAResendTheFirstAnswer);
  CPPUNIT_TEST(RefusesAnIdentifierOfOtherContent);
  CPPUNIT_TEST(AcceptsACorrectedNoteUnderItsIdentifier);
  CPPUNIT_TEST(AddsAWithdrawnNameOnlyAsTheNextGeneration);
  CPPUNIT_TEST(NeverAppliesAResendBeyondTheWindow);
  CPPUNIT_TEST(KeepsTheGenerationOfDroppedNames);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->configuration = Configuration(); }

  void AcceptsTheFirstNote() {
    const NoteAnswer answer = this->Apply(FirstNote());
    CPPUNIT_ASSERT(answer.verdict == NoteVerdict::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answer.revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         this->configuration.in_force.proxies.size());
  }

  void NamesTheWinnerOfARace() {
    this->Apply(FirstNote());
    this->Apply(this->AddProxy("winner", 1, 3));
    const NoteAnswer answer = this->Apply(this->AddProxy("loser", 1, 4));
    CPPUNIT_ASSERT(answer.verdict == NoteVerdict::kConflict);
    CPPUNIT_ASSERT(
        (*answer.winner == NoteWinner{NoteId("winner"), "marit", 2}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         this->configuration.in_force.proxies.size());
  }

  void GivesAResendTheFirstAnswer() {
    this->Apply(FirstNote());
    this->Apply(this->AddProxy("second", 1, 3));
    const NoteAnswer answer = this->Apply(FirstNote());
    CPPUNIT_ASSERT(answer.verdict == NoteVerdict::kAccepted);
    CPPUNIT_ASSERT(answer.repeated);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answer.revision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         this->configuration.in_force.revision);
  }

  void RefusesAnIdentifierOfOtherContent() {
    this->Apply(FirstNote());
    const NoteAnswer answer = this->Apply(this->AddProxy("first", 1, 3));
    CPPUNIT_ASSERT(answer.verdict == NoteVerdict::kIdReused);
    CPPUNIT_ASSERT((*answer.winner == NoteWinner{NoteId("first"), "marit", 1}));
  }

  void AcceptsACorrectedNoteUnderItsIdentifier() {
    this->Apply(FirstNote());
    const ReleaseNote wrong = this->AddProxy("second", 1, 2);
    CPPUNIT_ASSERT(this->Apply(wrong).verdict == NoteVerdict::kRefused);
    CPPUNIT_ASSERT(this->Apply(wrong).repeated);
    const NoteAnswer answer = this->Apply(this->AddProxy("second", 1, 3));
    CPPUNIT_ASSERT(answer.verdict == NoteVerdict::kAccepted);
  }

  void AddsAWithdrawnNameOnlyAsTheNextGeneration() {
    this->Apply(FirstNote());
    ReleaseNote withdrawal = EmptyNote("withdrawal", 1);
    withdrawal.withdrawn.proxies = {NodeId("proxy-2")};
    this->Apply(withdrawal);
    ReleaseNote again = this->AddProxy("again", 2, 2);
    const NoteAnswer refused = this->Apply(again);
    CPPUNIT_ASSERT_EQUAL(std::string("was withdrawn at revision 2; to add it "
                                     "state generation: 2"),
                         refused.findings.at(0).message);
    again.added.proxies[0].generation = 2;
    CPPUNIT_ASSERT(this->Apply(again).verdict == NoteVerdict::kAccepted);
  }

  void NeverAppliesAResendBeyondTheWindow() {
    this->Apply(FirstNote());
    for (std::size_t i = 0; i < kMaxHistoryEntries; ++i) {
      this->ToggleSlots();
    }
    CPPUNIT_ASSERT_EQUAL(kMaxHistoryEntries,
                         this->configuration.history.size());
    const NoteAnswer answer = this->Apply(FirstNote());
    CPPUNIT_ASSERT(answer.verdict == NoteVerdict::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, answer.winner->revision);
  }

  void KeepsTheGenerationOfDroppedNames() {
    this->Apply(FirstNote());
    ReleaseNote addition = EmptyNote("addition", 1);
    ReleaseNote withdrawal = EmptyNote("withdrawal", 2);
    const int count = static_cast<int>(kMaxWithdrawnNames) + 1;
    for (int number = 3; number < 3 + count; ++number) {
      addition.added.proxies.push_back(SampleProxy(number));
      withdrawal.withdrawn.proxies.push_back(SampleProxy(number).id);
    }
    this->Apply(addition);
    this->Apply(withdrawal);
    const auto& withdrawn = this->configuration.withdrawn_proxies;
    CPPUNIT_ASSERT_EQUAL(kMaxWithdrawnNames, withdrawn.names.size());
    CPPUNIT_ASSERT_EQUAL(1U, withdrawn.forgotten_generation);
    ReleaseNote fresh = this->AddProxy("fresh", 3, 1000000);
    CPPUNIT_ASSERT(this->Apply(fresh).verdict == NoteVerdict::kRefused);
    fresh.added.proxies[0].generation = 2;
    CPPUNIT_ASSERT(this->Apply(fresh).verdict == NoteVerdict::kAccepted);
  }

 private:
  NoteAnswer Apply(const ReleaseNote& note) {
    return ApplyNote(NoteSubmission{note, {}, ""}, &this->configuration);
  }

  ReleaseNote AddProxy(const std::string& id, std::uint64_t base, int number) {
    ReleaseNote note = EmptyNote(id, base);
    note.added.proxies = {SampleProxy(number)};
    return note;
  }

  void ToggleSlots() {
    const std::uint64_t base = this->configuration.in_force.revision;
    ReleaseNote note = EmptyNote("change-" + std::to_string(base), base);
    note.changed.groups = {SampleGroup("permit-db")};
    note.changed.groups[0].slots = base % 2 == 0 ? 5 : 6;
    CPPUNIT_ASSERT(this->Apply(note).verdict == NoteVerdict::kAccepted);
  }

  Configuration configuration;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NoteApplicationTest);

}  // namespace
}  // namespace lacewingferry
