#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "bench/model/member_troubles.h"

namespace lacewingferry {
namespace {

using model::SlowMemberOptions;
using model::SlowMemberResult;

constexpr std::uint64_t kSeeds = 3;
/** For each caller so many messages and statements may come on top: what the
 * gap without a primary costs. */
constexpr std::uint64_t kPerCaller = 10;

class RetryStormTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryStormTest);
  CPPUNIT_TEST(AFailoverMultipliesNoRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AFailoverMultipliesNoRequests() {
    this->Check(model::KraanwaterTrial());
    this->Check(model::WanjiruTrial());
  }

 private:
  void Check(SlowMemberOptions options) {
    // The gap is 3 s of it, so that the calm after it can't hide a storm.
    options.length = std::chrono::milliseconds(4000);
    model::PrimaryFalls().apply(options);
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      const SlowMemberResult result = RunSlowMemberTrial(options);
      const std::uint64_t most =
          result.requests * 11 / 10 + kPerCaller * options.workload.callers;
      const std::string counts =
          std::to_string(result.requests) + " requests, " +
          std::to_string(result.attempts) + " statements, " +
          std::to_string(result.forwards) + " messages";
      CPPUNIT_ASSERT_MESSAGE(counts,
                             result.attempts * 10 <= result.requests * 11);
      CPPUNIT_ASSERT_MESSAGE(counts, result.forwards <= most);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, result.workload.Violations());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryStormTest);

}  // namespace
}  // namespace lacewingferry
