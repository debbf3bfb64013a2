#include <cppunit/extensions/HelperMacros.h>

#include "bench/model/read_scenario.h"
#include "lacewingferry/adapters/msgpack/peer_codec.h"

namespace lacewingferry {
namespace {

/** The seeds of the runs that docs/design/data-path-reads.md reports. */
constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kLastSeed = 3;
/** The part of a node's 3 KB/s for control that positions may take. */
constexpr double kPositionBytesPerSecond = 1536;

class ReplicaShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaShareTest);
  CPPUNIT_TEST(ReachesTheStatedShareWithinTheBudget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReachesTheStatedShareWithinTheBudget() {
    for (const model::ReadScenario& scenario : model::ReadScenarios()) {
      for (std::uint64_t seed = kFirstSeed; seed <= kLastSeed; ++seed) {
        const auto outcome = model::RunReadScenario(
            scenario, seed, [](const PeerMessage& message) {
              return EncodePeerMessage(message).size();
            });
        const auto& result = outcome.result;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario.name, std::uint64_t{0},
                                     result.Violations());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario.name, std::uint64_t{0},
                                     result.refused + result.unknown);
        CPPUNIT_ASSERT(outcome.control_bytes_a_second <
                       kPositionBytesPerSecond);
        CPPUNIT_ASSERT_MESSAGE(scenario.name + ", seed " +
                                   std::to_string(seed) + ": " +
                                   std::to_string(result.ReplicaShare()),
                               result.ReplicaShare() >= scenario.least_share);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaShareTest);

}  // namespace
}  // namespace lacewingferry
