#include "bench/model/traffic_chaos.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <iostream>
#include <map>
#include <set>
#include <string>

namespace lacewingferry {
namespace {

using model::ChaosOptions;
using model::Promise;

/** Number of seeds for which every guarantee must hold. */
constexpr std::uint64_t kSeeds = 1000;
/** Number of seeds within which an injected fault must be detected. */
constexpr std::uint64_t kFaultySeeds = 100;

/** The guarantees violated within a number of seeds, each with the seed and
 * description of its first violation. */
std::map<Promise, std::string> BrokenWithin(ChaosOptions options,
                                            std::uint64_t seeds) {
  std::map<Promise, std::string> broken;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    options.seed = seed;
    for (const auto& violation : CheckHistory(RunTrafficChaos(options))) {
      broken.emplace(violation.promise,
                     "seed " + std::to_string(seed) + ": " + violation.detail);
    }
  }
  return broken;
}

class TrafficChaosTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrafficChaosTest);
  CPPUNIT_TEST(KeepsEveryPromise);
  CPPUNIT_TEST(MajorityAloneKeepsAcknowledgedWrites);
  CPPUNIT_TEST(LeaseAlonePreventsAnswersOfReplacedPrimary);
  CPPUNIT_TEST(DetectsRepeatedRunsWithoutIdentifiers);
  CPPUNIT_TEST(DetectsUnknownOutcomeReportedAsNotRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsEveryPromise() {
    const auto broken = BrokenWithin(ChaosOptions{}, kSeeds);
    for (const auto& entry : broken) std::cerr << entry.second << "\n";
    CPPUNIT_ASSERT(broken.empty());
  }

  void MajorityAloneKeepsAcknowledgedWrites() {
    ChaosOptions options;
    options.works = model::kDenseWorks;
    options.lease_wall = false;
    const auto broken = BrokenWithin(options, kFaultySeeds);
    CPPUNIT_ASSERT(broken.count(Promise::kNoAnswerByReplaced) > 0);
    CPPUNIT_ASSERT(broken.count(Promise::kAcknowledgedSurvives) == 0);
  }

  void LeaseAlonePreventsAnswersOfReplacedPrimary() {
    ChaosOptions options;
    options.majority_wall = false;
    const auto broken = BrokenWithin(options, kFaultySeeds);
    CPPUNIT_ASSERT(broken.count(Promise::kAcknowledgedSurvives) > 0);
    CPPUNIT_ASSERT(broken.count(Promise::kNoAnswerByReplaced) == 0);
  }

  void DetectsRepeatedRunsWithoutIdentifiers() {
    ChaosOptions options;
    options.identifiers = false;
    const auto broken = BrokenWithin(options, kFaultySeeds);
    CPPUNIT_ASSERT(broken.count(Promise::kAtMostOnce) > 0);
  }

  void DetectsUnknownOutcomeReportedAsNotRun() {
    ChaosOptions options;
    options.truthful = false;
    const auto broken = BrokenWithin(options, kFaultySeeds);
    CPPUNIT_ASSERT(broken.count(Promise::kNotRunIsTrue) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrafficChaosTest);

}  // namespace
}  // namespace lacewingferry
