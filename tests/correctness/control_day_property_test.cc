#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tests/support/control_day.h"
#include "tests/support/raft_chaos.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using tests::ControlDayOptions;
using tests::ControlDayResult;

/** Number of days of each deployment in CI; FERRY_RAFT_SEEDS overrides it. */
constexpr std::uint64_t kDays = 150;

class ControlDayPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlDayPropertyTest);
  CPPUNIT_TEST(SixVmsServeAfterTheFinalFault);
  CPPUNIT_TEST(ThreeVmsServeAfterTheFinalFault);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against losses, each of which the deployment tolerates, that add up
  // until control has no majority: replacements that never join or join late.
  void SixVmsServeAfterTheFinalFault() { Play(ControlDayOptions{}); }

  void ThreeVmsServeAfterTheFinalFault() {
    ControlDayOptions options;
    options.vms = 3;
    options.tolerated_losses = 1;
    options.catch_up = milliseconds(4000);
    options.recovery = milliseconds(12'000);
    Play(options);
  }

 private:
  static void Play(ControlDayOptions options) {
    ControlDayResult total;
    std::size_t failed = 0;
    for (const std::uint64_t seed : tests::ChaosSeeds(kDays)) {
      options.seed = seed;
      const ControlDayResult day = tests::RunControlDay(options);
      total.disks_lost += day.disks_lost;
      total.vms_replaced += day.vms_replaced;
      total.seeds_exchanged += day.seeds_exchanged;
      if (day.failure.empty()) continue;
      ++failed;
      std::cerr << "seed " << seed << ": " << day.failure << "\n";
    }
    std::cerr << " disks lost " << total.disks_lost << ", VMs replaced "
              << total.vms_replaced << ", seeds exchanged "
              << total.seeds_exchanged << "\n";
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, failed);
    CPPUNIT_ASSERT(total.disks_lost > 0 && total.vms_replaced > 0);
    CPPUNIT_ASSERT(total.seeds_exchanged > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlDayPropertyTest);

}  // namespace
}  // namespace lacewingferry
