#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

#include "bench/model/member_troubles.h"

namespace lacewingferry {
namespace {

using model::SlowMemberOptions;
using model::SlowMemberResult;
using std::chrono::milliseconds;

constexpr std::uint64_t kSeeds = 3;
/** The seconds of a trial, counted from the calm on. */
constexpr std::size_t kCalmEnd = 10;
constexpr std::size_t kTrialEnd = 30;
/** The design note states that reads have recovered after this. */
constexpr std::size_t kRecoverySeconds = 2;

/** What a trial has to keep. */
struct Bounds {
  /** The part of the reads of each second that are answered. */
  double answered = 1;
  /** The p99 of the reads of each second, and after the recovery. */
  milliseconds p99{0};
  milliseconds recovered{0};
};

class SlowMemberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowMemberTest);
  CPPUNIT_TEST(ReadsLeaveAReplicaThatBecomesSlow);
  CPPUNIT_TEST(ReadsLeaveAReplicaThatDies);
  CPPUNIT_TEST(ReadsLeaveAReplicaThatHangs);
  CPPUNIT_TEST(AFlappingReplicaCostsNoRead);
  CPPUNIT_TEST(AColdReplicaStartsSlowly);
  CPPUNIT_TEST(SlownessOfAllTakesNoneOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsLeaveAReplicaThatBecomesSlow() {
    this->CheckBoth("slow", {1, milliseconds(1000), milliseconds(150)});
  }

  void ReadsLeaveAReplicaThatDies() {
    this->CheckBoth("dead", {1, milliseconds(150), milliseconds(150)});
  }

  void ReadsLeaveAReplicaThatHangs() {
    this->CheckBoth("hung", {0.98, milliseconds(350), milliseconds(150)});
  }

  void AFlappingReplicaCostsNoRead() {
    this->CheckBoth("flapping", {1, milliseconds(150), milliseconds(150)});
  }

  void AColdReplicaStartsSlowly() {
    this->CheckBoth("cold", {1, milliseconds(250), milliseconds(250)});
  }

  void SlownessOfAllTakesNoneOut() {
    SlowMemberOptions options = model::WanjiruTrial();
    options.slowness = [](const MemberId&, std::chrono::nanoseconds) {
      return 4.0;
    };
    const SlowMemberResult result = RunSlowMemberTrial(options);
    CPPUNIT_ASSERT_EQUAL(result.workload.reads, result.workload.by_replica);
  }

 private:
  void CheckBoth(const std::string& trouble, const Bounds& bounds) {
    this->Check(model::KraanwaterTrial(), trouble, bounds);
    this->Check(model::WanjiruTrial(), trouble, bounds);
  }

  void Check(SlowMemberOptions options, const std::string& trouble,
             const Bounds& bounds) {
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      SlowMemberOptions troubled = options;
      model::FindMemberTrouble(trouble).apply(troubled);
      const SlowMemberResult result = RunSlowMemberTrial(troubled);
      const std::string place = trouble + " with slots " +
                                std::to_string(options.fleet.slots) +
                                ", seed " + std::to_string(options.seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(place, std::uint64_t{0},
                                   result.workload.Violations());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(place, std::uint64_t{0},
                                   result.workload.unknown);
      CPPUNIT_ASSERT_MESSAGE(
          place, result.LeastAnswered(0, kTrialEnd) >= bounds.answered);
      const auto worst = result.WorstP99(kCalmEnd, kTrialEnd);
      CPPUNIT_ASSERT_MESSAGE(place + ": " + std::to_string(worst.count()),
                             worst <= bounds.p99);
      const auto recovered =
          result.WorstP99(kCalmEnd + kRecoverySeconds, kTrialEnd);
      CPPUNIT_ASSERT_MESSAGE(place + ": " + std::to_string(recovered.count()),
                             recovered <= bounds.recovered);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowMemberTest);

}  // namespace
}  // namespace lacewingferry
