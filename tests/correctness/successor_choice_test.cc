#include "lacewingferry/decisions/switchover/successor_choice.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "lacewingferry/decisions/switchover/primary_failure_detector.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

PausedReplica Replica(const char* id, std::uint64_t offset,
                      bool leaving = false) {
  return {MemberId(id), AvailabilityZone("z"), LogPosition{3, offset}, leaving};
}

class SuccessorChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuccessorChoiceTest);
  CPPUNIT_TEST(NewestOfAllIsChosen);
  CPPUNIT_TEST(StayingReplicaIsPreferred);
  CPPUNIT_TEST(ReplicaBehindAcknowledgedPositionIsNotChosen);
  CPPUNIT_TEST(ChosenReplicaHasEveryAcknowledgedCommit);
  CPPUNIT_TEST(SilentPrimaryIsLostAfterTheTimeout);
  CPPUNIT_TEST(RefusingPrimaryIsLostSooner);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NewestOfAllIsChosen() {
    SuccessorChoiceInput input;
    input.paused = {Replica("a", 7), Replica("b", 9)};
    CPPUNIT_ASSERT(ChooseSuccessor(input)->id == MemberId("b"));
    input.missing = {MemberId("c")};
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
  }

  void StayingReplicaIsPreferred() {
    SuccessorChoiceInput input;
    input.paused = {Replica("a", 9, true), Replica("b", 9)};
    CPPUNIT_ASSERT(ChooseSuccessor(input)->id == MemberId("b"));
  }

  void ReplicaBehindAcknowledgedPositionIsNotChosen() {
    SuccessorChoiceInput input;
    input.paused = {Replica("a", 7), Replica("b", 9)};
    input.acknowledged = LogPosition{3, 10};
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
    input.former_position = LogPosition{3, 8};
    CPPUNIT_ASSERT(!ChooseSuccessor(input));
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
          for (std::size_t i = 0; i < replicas; ++i) {
            const std::string id = "m" + std::to_string(i);
            if (answers[i]) {
              input.paused.push_back(Replica(
                  id.c_str(), static_cast<std::uint64_t>(positions[i])));
            } else {
              input.missing.insert(MemberId(id));
            }
          }
          if (former_answers) {
            input.former_position =
                LogPosition{3, static_cast<std::uint64_t>(newest)};
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
