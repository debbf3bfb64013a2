#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "bench/processes/poll_until.h"
#include "standin/platform/platform_fleet.h"
#include "tests/support/program_folder.h"

namespace lacewingferry::testing {
namespace {

using processes::PollUntil;
using standin::kFleetDeadline;
using standin::PlatformFleet;

constexpr std::uint64_t kVersion = 3;

std::size_t AwaitLeader(PlatformFleet& fleet) {
  std::optional<std::size_t> leader;
  PollUntil(kFleetDeadline, [&] {
    for (std::size_t i = 0; i < PlatformFleet::kControls; ++i) {
      if (fleet.ControlGauge(i, "ferry_control_leads") == 1.0) leader = i;
    }
    return leader.has_value();
  });
  CPPUNIT_ASSERT(leader.has_value());
  return *leader;
}

class ProcessesJoinTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesJoinTest);
  CPPUNIT_TEST(LostDiskIsReplacedThroughASeedThatDoesntLead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a control process that lost its disk and never joins again,
  // so that the next loss takes the majority and the configuration with it.
  void LostDiskIsReplacedThroughASeedThatDoesntLead() {
    PlatformFleet fleet(ProgramFolder());
    fleet.PutConfiguration(kVersion);
    const std::size_t leader = AwaitLeader(fleet);
    const std::size_t lost = (leader + 1) % PlatformFleet::kControls;
    const std::size_t seed = (leader + 2) % PlatformFleet::kControls;
    fleet.Control(lost).Kill();
    fleet.RestartControlWithoutDisk(lost, {seed});
    // First it is a fourth replica, then a fourth voter; three are left once
    // the identity that it lost is removed.
    const bool joined = PollUntil(kFleetDeadline, [&] {
      return fleet.ControlGauge(lost, "ferry_control_joining") == 0.0 &&
             fleet.ControlGauge(leader, "ferry_control_replicas") == 3.0 &&
             fleet.ControlGauge(leader, "ferry_control_voters") == 3.0 &&
             fleet.ControlGauge(leader, "ferry_control_voters_silent") == 0.0;
    });
    CPPUNIT_ASSERT(joined);
    fleet.Control(leader).Kill();
    const bool served = PollUntil(
        kFleetDeadline, [&] { return fleet.FetchVersion() == kVersion; });
    CPPUNIT_ASSERT(served);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesJoinTest);

}  // namespace
}  // namespace lacewingferry::testing
