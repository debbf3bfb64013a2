#include "lacewingferry/decisions/switchover/successor_choice.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "lacewingferry/decisions/switchover/primary_watch.h"

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
  CPPUNIT_TEST(OneThatStaysGoesFirst);
  CPPUNIT_TEST(AcknowledgedPositionIsNeverGivenUp);
  CPPUNIT_TEST(ChosenOneHasWhatAnyGroupAcknowledged);
  CPPUNIT_TEST(SilenceHasToLast);
  CPPUNIT_TEST(RefusalProvesSooner);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NewestOfAllIsChosen() {
    SuccessionEvidence evidence;
    evidence.paused = {Replica("a", 7), Replica("b", 9)};
    CPPUNIT_ASSERT(ChooseSuccessor(evidence)->id == MemberId("b"));
    evidence.missing = {MemberId("c")};
    CPPUNIT_ASSERT(!ChooseSuccessor(evidence));
  }

  void OneThatStaysGoesFirst() {
    SuccessionEvidence evidence;
    evidence.paused = {Replica("a", 9, true), Replica("b", 9)};
    CPPUNIT_ASSERT(ChooseSuccessor(evidence)->id == MemberId("b"));
  }

  void AcknowledgedPositionIsNeverGivenUp() {
    SuccessionEvidence evidence;
    evidence.paused = {Replica("a", 7), Replica("b", 9)};
    evidence.acknowledged = LogPosition{3, 10};
    CPPUNIT_ASSERT(!ChooseSuccessor(evidence));
    evidence.former_position = LogPosition{3, 8};
    CPPUNIT_ASSERT(!ChooseSuccessor(evidence));
  }

  /** Each commit reached the primary and at least one replica; whatever part of
   * the group answers, a chosen member has all of them. */
  void ChosenOneHasWhatAnyGroupAcknowledged() {
    const bool held =
        rc::check("a chosen successor has every acknowledged commit", [] {
          const auto replicas = *rc::gen::inRange<std::size_t>(1, 5);
          const auto positions = *rc::gen::container<std::vector<int>>(
              replicas, rc::gen::inRange(0, 20));
          const auto answers = *rc::gen::container<std::vector<bool>>(
              replicas, rc::gen::arbitrary<bool>());
          const bool former = *rc::gen::arbitrary<bool>();
          // What one replica received may have been acknowledged.
          const int newest =
              *std::max_element(positions.begin(), positions.end());
          SuccessionEvidence evidence;
          for (std::size_t i = 0; i < replicas; ++i) {
            const std::string id = "m" + std::to_string(i);
            if (answers[i]) {
              evidence.paused.push_back(Replica(
                  id.c_str(), static_cast<std::uint64_t>(positions[i])));
            } else {
              evidence.missing.insert(MemberId(id));
            }
          }
          if (former) {
            evidence.former_position =
                LogPosition{3, static_cast<std::uint64_t>(newest)};
          }
          const auto chosen = ChooseSuccessor(evidence);
          if (chosen) {
            RC_ASSERT(chosen->received.offset >=
                      static_cast<std::uint64_t>(newest));
          }
        });
    CPPUNIT_ASSERT(held);
  }

  void SilenceHasToLast() {
    PrimaryWatch watch;
    const steady_clock::time_point start;
    watch.OnOutcome(start, MemberResponse::kSilent);
    watch.OnOutcome(start + milliseconds(300), MemberResponse::kSilent);
    CPPUNIT_ASSERT(!watch.Lost(start + milliseconds(400)));
    CPPUNIT_ASSERT(watch.Lost(start + milliseconds(700)));
    watch.OnOutcome(start + milliseconds(600), MemberResponse::kBusy);
    CPPUNIT_ASSERT(!watch.Lost(start + milliseconds(5000)));
  }

  void RefusalProvesSooner() {
    PrimaryWatch watch;
    const steady_clock::time_point start;
    watch.OnOutcome(start, MemberResponse::kRefused);
    CPPUNIT_ASSERT(!watch.Lost(start + milliseconds(1000)));
    watch.OnOutcome(start + milliseconds(200), MemberResponse::kRefused);
    CPPUNIT_ASSERT(watch.Lost(start + milliseconds(350)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessorChoiceTest);

}  // namespace
}  // namespace lacewingferry
