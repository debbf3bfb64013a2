#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/decisions/execution/answer_gate.h"
#include "lacewingferry/decisions/execution/pending_answers.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint64_t kTerm = 3;

GroupMemberState Row(const char* name, bool self, std::uint64_t term,
                     LogPosition durable) {
  GroupMemberState row;
  row.member = MemberId(name);
  row.self = self;
  row.primary = self;
  row.term = term;
  row.durable = durable;
  return row;
}

class HeldAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldAnswerTest);
  CPPUNIT_TEST(IsSentOnceAMajorityHoldsIt);
  CPPUNIT_TEST(IsHeldAfterTheLeaseEndsAndSentOnRenewal);
  CPPUNIT_TEST(IsNeverSentInAReleasedTerm);
  CPPUNIT_TEST(AnEntryOfAnEarlierTermIsNotConfirmedByCounting);
  CPPUNIT_TEST(AReplicaOfAnotherTermDoesNotCount);
  CPPUNIT_TEST(OneReportConfirmsAllEarlierWrites);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->now = steady_clock::time_point(milliseconds(1000));
    this->gate = AnswerGate();
    this->confirmer = WriteConfirmer();
    this->confirmer.SetTerm(kTerm);
    this->confirmer.SetMembers(3,
                               {MemberId("a"), MemberId("b"), MemberId("c")});
    this->outcomes.clear();
  }

  void IsSentOnceAMajorityHoldsIt() {
    PendingAnswers pending = this->MakePending();
    this->Hold(pending, {kTerm, 5});
    this->Report({kTerm, 5}, {kTerm, 4}, kTerm);
    pending.Release(this->now, this->confirmer);
    CPPUNIT_ASSERT(this->outcomes.empty());
    this->Report({kTerm, 6}, {kTerm, 5}, kTerm);
    pending.Release(this->now, this->confirmer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->outcomes.size());
    CPPUNIT_ASSERT(std::holds_alternative<Answered>(this->outcomes[0]));
  }

  void IsHeldAfterTheLeaseEndsAndSentOnRenewal() {
    PendingAnswers pending = this->MakePending();
    this->gate.SetLease(this->now + milliseconds(10));
    this->Hold(pending, {kTerm, 5});
    this->Report({kTerm, 5}, {kTerm, 5}, kTerm);
    this->now += milliseconds(10);
    pending.Release(this->now, this->confirmer);
    CPPUNIT_ASSERT(this->outcomes.empty());
    this->gate.SetLease(this->now + milliseconds(10));
    pending.Release(this->now, this->confirmer);
    CPPUNIT_ASSERT(std::holds_alternative<Answered>(this->outcomes.at(0)));
  }

  void IsNeverSentInAReleasedTerm() {
    PendingAnswers pending = this->MakePending();
    this->Hold(pending, {kTerm, 5});
    this->gate.ReleaseTerm(kTerm);
    this->Report({kTerm, 5}, {kTerm, 5}, kTerm);
    pending.Release(this->now, this->confirmer);
    CPPUNIT_ASSERT(this->outcomes.empty());
    pending.EndTerms(this->gate.ReleasedTerm());
    CPPUNIT_ASSERT(
        std::holds_alternative<UnknownOutcome>(this->outcomes.at(0)));
  }

  // Two of three members hold an entry of term 1, but the third may hold one of
  // term 2, win the next promotion and overwrite the entry.
  void AnEntryOfAnEarlierTermIsNotConfirmedByCounting() {
    PendingAnswers pending = this->MakePending();
    this->Hold(pending, {1, 5});
    this->Report({1, 5}, {1, 5}, kTerm);
    pending.Release(this->now, this->confirmer);
    CPPUNIT_ASSERT(this->outcomes.empty());
    CPPUNIT_ASSERT(!this->confirmer.TermBegun());
    this->Report({kTerm, 6}, {kTerm, 6}, kTerm);
    pending.Release(this->now, this->confirmer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->outcomes.size());
  }

  void AReplicaOfAnotherTermDoesNotCount() {
    PendingAnswers pending = this->MakePending();
    this->Hold(pending, {kTerm, 5});
    this->Report({kTerm, 5}, {kTerm, 5}, kTerm + 1);
    pending.Release(this->now, this->confirmer);
    CPPUNIT_ASSERT(this->outcomes.empty());
  }

  void OneReportConfirmsAllEarlierWrites() {
    PendingAnswers pending = this->MakePending();
    for (std::uint64_t offset = 1; offset <= 9; ++offset) {
      this->Hold(pending, {kTerm, offset});
    }
    this->Report({kTerm, 9}, {kTerm, 7}, kTerm);
    pending.Release(this->now, this->confirmer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, this->outcomes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pending.Size());
  }

 private:
  PendingAnswers MakePending() {
    return PendingAnswers(
        [this](steady_clock::time_point at, std::uint64_t term) {
          return this->gate.Open(at, term);
        },
        [](std::chrono::nanoseconds) {});
  }

  void Hold(PendingAnswers& pending, const LogPosition& position) {
    PendingAnswer answer;
    answer.job.deadline = this->now + milliseconds(1000);
    answer.job.reply = [this](const Outcome& outcome) {
      this->outcomes.push_back(outcome);
    };
    answer.answer = Answered{};
    answer.position = position;
    answer.term = kTerm;
    answer.fallback = UnknownOutcome{};
    answer.since = this->now;
    pending.Add(std::move(answer));
  }

  void Report(LogPosition primary, LogPosition replica,
              std::uint64_t replica_term) {
    this->confirmer.OnStatus({Row("a", true, kTerm, primary),
                              Row("b", false, replica_term, replica)});
  }

  steady_clock::time_point now;
  AnswerGate gate;
  WriteConfirmer confirmer;
  std::vector<Outcome> outcomes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldAnswerTest);

}  // namespace
}  // namespace lacewingferry
