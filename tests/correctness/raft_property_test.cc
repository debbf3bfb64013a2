#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tests/support/raft_chaos.h"

namespace lacewingferry {
namespace {

using tests::ChaosResult;

/** Number of seeds run in CI; FERRY_RAFT_SEEDS overrides it. */
constexpr std::uint64_t kSeeds = 1000;

class RaftPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RaftPropertyTest);
  CPPUNIT_TEST(KeepsInvariantsUnderRandomFailures);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsInvariantsUnderRandomFailures() {
    ChaosResult total;
    for (const std::uint64_t seed : tests::ChaosSeeds(kSeeds)) {
      tests::ChaosOptions options;
      options.seed = seed;
      const ChaosResult result = tests::RunRaftChaos(options);
      total.committed += result.committed;
      total.crashes += result.crashes;
      total.disks_lost += result.disks_lost;
      total.partitions += result.partitions;
      for (const std::string& violation : result.violations) {
        total.violations.push_back("seed " + std::to_string(seed) + ": " +
                                   violation);
      }
    }
    Report(total);
    CPPUNIT_ASSERT_MESSAGE(
        total.violations.empty() ? "" : total.violations.front(),
        total.violations.empty());
    CPPUNIT_ASSERT(total.committed > 0);
    CPPUNIT_ASSERT(total.disks_lost > 0);
  }

 private:
  static void Report(const ChaosResult& total) {
    std::cerr << " committed " << total.committed << ", crashes "
              << total.crashes << ", disks lost " << total.disks_lost
              << ", partitions " << total.partitions << "\n";
    for (const std::string& violation : total.violations) {
      std::cerr << violation << "\n";
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftPropertyTest);

}  // namespace
}  // namespace lacewingferry
