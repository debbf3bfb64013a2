#include "lacewingferry/decisions/switchover/successor_choice.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "lacewingferry/decisions/switchover/primary_failure_detector.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

SuccessorAnswer Replica(const char* id, std::uint64_t offset,
                        bool leaving = false) {
  SuccessorAnswer answer;
  answer.run = {MemberId(id), 1};
  answer.zone = AvailabilityZone("z");
  answer.received = LogPosition{3, offset};
  answer.leaving = leaving;
  answer.proof = RunProof{LogPosition(), "link"};
  return answer;
}

SuccessorAnswer Primary(const char* id, std::uint64_t term,
                        std::uint64_t offset) {
  SuccessorAnswer answer = Replica(id, offset);
  answer.primary = true;
  answer.term = term;
  return answer;
}

/** The member that is chosen; empty if none is. */
MemberId Chosen(const SuccessorChoiceInput& input) {
  const auto chosen = ChooseSuccessor(input);
  return chosen ? chosen->run.member : MemberId();
}

class SuccessorChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuccessorChoiceTest);
  CPPUNIT_TEST(NewestOfAllIsChosen);
  CPPUNIT_TEST(StayingReplicaIsPreferred);
  CPPUNIT_TEST(RunThatIsNotProvedProvesNothing);
  CPPUNIT_TEST(EarlierRunsOfAReplicaCount);
  CPPUNIT_TEST(EndedRunIsWaitedFor);
  CPPUNIT_TEST(ReportsOfAllProxiesNeedNoOtherReplica);
  CPPUNIT_TEST(PrimaryOfTheNewestTermHasEverything);
  CPPUNIT_TEST(LeaderThatSteppedDownHasEverything);
  CPPUNIT_TEST(ChosenReplicaHasEveryAcknowledgedCommit);
  CPPUNIT_TEST(SilentPrimaryIsLostAfterTheTimeout);
  CPPUNIT_TEST(RefusingPrimaryIsLostSooner);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NewestOfAllIsChosen() {
    SuccessorChoiceInput input;
    input.answers = {Replica("a", 7), Replica("b", 9)};
    CPPUNIT_ASSERT(Chosen(input) == MemberId("b"));
    input.missing = {MemberId("c")};
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
  }

  void StayingReplicaIsPreferred() {
    SuccessorChoiceInput input;
    input.answers = {Replica("a", 9, true), Replica("b", 9)};
    CPPUNIT_ASSERT(Chosen(input) == MemberId("b"));
  }

  void RunThatIsNotProvedProvesNothing() {
    SuccessorChoiceInput input;
    input.answers = {Replica("a", 7), Replica("b", 9)};
    input.answers[0].proof.reset();
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
  }

  void EarlierRunsOfAReplicaCount() {
    SuccessorChoiceInput input;
    input.answers = {Replica("a", 7), Replica("b", 9)};
    input.answers[0].proof->earlier_runs = LogPosition{3, 10};
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
  }

  void EndedRunIsWaitedFor() {
    SuccessorChoiceInput input;
    input.answers = {Replica("a", 7), Replica("b", 9)};
    input.ended = {MemberRun{MemberId("c"), 1}};
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
    input.ended.clear();
    input.floor = LogPosition{3, 10};
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
    input.floor = LogPosition{3, 9};
    CPPUNIT_ASSERT(Chosen(input) == MemberId("b"));
  }

  void ReportsOfAllProxiesNeedNoOtherReplica() {
    SuccessorChoiceInput input;
    input.answers = {Replica("a", 7)};
    input.missing = {MemberId("b")};
    input.ended = {MemberRun{MemberId("c"), 1}};
    input.reported = LogPosition{3, 8};
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
    input.reported = LogPosition{3, 7};
    CPPUNIT_ASSERT(Chosen(input) == MemberId("a"));
  }

  void PrimaryOfTheNewestTermHasEverything() {
    SuccessorChoiceInput input;
    input.leader = MemberId("p");
    input.leading_term = 3;
    input.missing = {MemberId("b")};
    input.answers = {Primary("p", 2, 9), Replica("a", 9)};
    CPPUNIT_ASSERT(FindPrimary(input) == nullptr);
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
    input.answers[0].term = 3;
    CPPUNIT_ASSERT(FindPrimary(input) == input.answers.data());
    CPPUNIT_ASSERT(Chosen(input) == MemberId("a"));
    // It led under another ID before.
    input.answers[0].run.member = MemberId("p2");
    CPPUNIT_ASSERT(FindPrimary(input) == input.answers.data());
    // A log that began anew isn't the log of the primary.
    input.acknowledged = LogPosition{3, 10};
    CPPUNIT_ASSERT(FindPrimary(input) == nullptr);
  }

  void LeaderThatSteppedDownHasEverything() {
    SuccessorChoiceInput input;
    input.leader = MemberId("p");
    input.missing = {MemberId("b")};
    input.answers = {Replica("p", 9), Replica("a", 9), Replica("c", 8)};
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
    input.answers[0].led = true;
    CPPUNIT_ASSERT(Chosen(input) == MemberId("a"));
  }

  /** Each commit reached the primary and at least one replica. Whichever
   * members of the group answer, a chosen member has all commits. */
  void ChosenReplicaHasEveryAcknowledgedCommit() {
    const bool held =
        rc::check("a chosen successor has every acknowledged commit", [] {
          const auto replicas = *rc::gen::inRange<std::size_t>(1, 5);
          const auto positions = *rc::gen::container<std::vector<int>>(
              replicas, rc::gen::inRange(0, 20));
          const auto answers = *rc::gen::container<std::vector<bool>>(
              replicas, rc::gen::arbitrary<bool>());
          const bool former_answers = *rc::gen::arbitrary<bool>();
          // A commit that one replica received may have been acknowledged.
          const int newest =
              *std::max_element(positions.begin(), positions.end());
          SuccessorChoiceInput input;
          input.leader = MemberId("p");
          input.leading_term = 3;
          for (std::size_t i = 0; i < replicas; ++i) {
            const std::string id = "m" + std::to_string(i);
            if (answers[i]) {
              input.answers.push_back(Replica(
                  id.c_str(), static_cast<std::uint64_t>(positions[i])));
            } else {
              input.missing.insert(MemberId(id));
            }
          }
          if (former_answers) {
            input.answers.push_back(
                Primary("p", 3, static_cast<std::uint64_t>(newest)));
          }
          const auto chosen = ChooseSuccessor(input);
          if (chosen) {
            RC_ASSERT(chosen->received.offset >=
                      static_cast<std::uint64_t>(newest));
          }
        });
    CPPUNIT_ASSERT(held);
  }

  void SilentPrimaryIsLostAfterTheTimeout() {
    PrimaryFailureDetector detector;
    const steady_clock::time_point start;
    detector.OnResponse(start, MemberResponse::kSilent);
    detector.OnResponse(start + milliseconds(300), MemberResponse::kSilent);
    CPPUNIT_ASSERT(!detector.Lost(start + milliseconds(400)));
    CPPUNIT_ASSERT(detector.Lost(start + milliseconds(700)));
    detector.OnResponse(start + milliseconds(600), MemberResponse::kBusy);
    CPPUNIT_ASSERT(!detector.Lost(start + milliseconds(5000)));
  }

  void RefusingPrimaryIsLostSooner() {
    PrimaryFailureDetector detector;
    const steady_clock::time_point start;
    detector.OnResponse(start, MemberResponse::kRefused);
    CPPUNIT_ASSERT(!detector.Lost(start + milliseconds(1000)));
    detector.OnResponse(start + milliseconds(200), MemberResponse::kRefused);
    CPPUNIT_ASSERT(detector.Lost(start + milliseconds(350)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessorChoiceTest);

}  // namespace
}  // namespace lacewingferry
