#include "lacewingferry/decisions/freshness/primary_samples.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

steady_clock::time_point At(int ms) {
  return steady_clock::time_point() + milliseconds(ms);
}

class PrimarySamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrimarySamplesTest);
  CPPUNIT_TEST(IdleDatabaseIsNotStale);
  CPPUNIT_TEST(NeverProvesMoreThanItsSamples);
  CPPUNIT_TEST(KeepsTheProofOfALaggingReplica);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IdleDatabaseIsNotStale() {
    PrimarySamples samples;
    samples.Add(At(0), {1, 5});
    samples.Add(At(9000), {1, 5});
    CPPUNIT_ASSERT(samples.CompleteUntil({1, 5}) == At(9000));
    CPPUNIT_ASSERT(!samples.CompleteUntil({1, 4}));
  }

  /** Samples arrive late and out of order; each proof has to be based on
   * one. */
  void NeverProvesMoreThanItsSamples() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<std::uint16_t>& raw) {
      PrimarySamples samples;
      std::vector<std::pair<int, LogPosition>> added;
      for (const std::uint16_t bits : raw) {
        const int time = bits % 512;
        const LogPosition position{1, std::uint64_t{bits} / 512 + 1};
        added.emplace_back(time, position);
        samples.Add(At(time), position);
      }
      for (std::uint64_t offset = 0; offset < 130; ++offset) {
        const auto proven = samples.CompleteUntil({1, offset});
        if (!proven) continue;
        const bool has_sample =
            std::any_of(added.begin(), added.end(), [&](const auto& sample) {
              return At(sample.first) == *proven &&
                     sample.second <= LogPosition{1, offset};
            });
        RC_ASSERT(has_sample);
      }
    }));
  }

  void KeepsTheProofOfALaggingReplica() {
    PrimarySamples samples;
    constexpr int kLag = 15000;
    for (int ms = 0; ms <= 30000; ++ms) {
      samples.Add(At(ms), {1, static_cast<std::uint64_t>(ms) + 1});
      if (ms <= kLag) continue;
      const LogPosition applied{1, static_cast<std::uint64_t>(ms - kLag) + 1};
      const auto proven = samples.CompleteUntil(applied);
      CPPUNIT_ASSERT(proven && *proven >= At(ms - kLag - 40));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimarySamplesTest);

}  // namespace
}  // namespace lacewingferry
