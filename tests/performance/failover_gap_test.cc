#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "bench/model/failover_trial.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"

namespace lacewingferry {
namespace {

using model::FailoverScenario;
using model::FailoverTrialResult;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/** The bounds of one scenario. */
struct Bounds {
  milliseconds median;
  milliseconds worst;
};

/** Seeds of each scenario; FERRY_FAILOVER_SEEDS sets another number. */
std::uint64_t Seeds() {
  constexpr std::uint64_t kSeeds = 40;
  const char* text = std::getenv("FERRY_FAILOVER_SEEDS");
  return text == nullptr ? kSeeds : std::stoull(text);
}

Bounds BoundsOf(FailoverScenario scenario) {
  switch (scenario) {
    case FailoverScenario::kZoneStopsWithControl:
    case FailoverScenario::kCascade:
      return Bounds{milliseconds(3000), milliseconds(3000)};
    default:
      return Bounds{milliseconds(700), milliseconds(2000)};
  }
}

std::vector<FailoverTrialResult> RunAll(const model::FleetOptions& places,
                                        FailoverScenario scenario) {
  std::vector<FailoverTrialResult> results;
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    model::FailoverTrialOptions options;
    options.places = places;
    options.scenario = scenario;
    options.codec = MakeLogCodec();
    options.seed = seed;
    results.push_back(model::RunFailoverTrial(options));
  }
  return results;
}

class FailoverGapTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailoverGapTest);
  CPPUNIT_TEST(KeepsWithinTheBoundsAtKraanwater);
  CPPUNIT_TEST(KeepsWithinTheBoundsAtWanjiru);
  CPPUNIT_TEST(PromotesNobodyUnderStalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsWithinTheBoundsAtKraanwater() {
    this->CheckDeployment(model::KraanwaterOptions());
  }

  void KeepsWithinTheBoundsAtWanjiru() {
    this->CheckDeployment(model::WanjiruOptions());
  }

  void PromotesNobodyUnderStalls() {
    for (const auto& places :
         {model::KraanwaterOptions(), model::WanjiruOptions()}) {
      for (const auto& result : RunAll(places, FailoverScenario::kStalls)) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.terms);
        CheckPromises(result, "stalls");
      }
    }
  }

 private:
  static void CheckPromises(const FailoverTrialResult& result,
                            const std::string& name) {
    CPPUNIT_ASSERT_MESSAGE(name, result.acknowledged > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, result.lost_writes);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, result.replaced_answers);
    CPPUNIT_ASSERT_MESSAGE(name, result.all_follow);
  }

  void CheckDeployment(const model::FleetOptions& places) {
    for (const FailoverScenario scenario : model::AllFailoverScenarios()) {
      if (scenario == FailoverScenario::kStalls) continue;
      const std::string name = model::FailoverScenarioName(scenario);
      std::vector<microseconds> gaps;
      for (const auto& result : RunAll(places, scenario)) {
        CheckPromises(result, name);
        CPPUNIT_ASSERT_MESSAGE(name + " was not answered",
                               result.gap.has_value());
        gaps.push_back(*result.gap);
      }
      std::sort(gaps.begin(), gaps.end());
      const Bounds bounds = BoundsOf(scenario);
      CPPUNIT_ASSERT_MESSAGE(name + " median",
                             gaps[gaps.size() / 2] <= bounds.median);
      CPPUNIT_ASSERT_MESSAGE(name + " worst", gaps.back() <= bounds.worst);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverGapTest);

}  // namespace
}  // namespace lacewingferry
