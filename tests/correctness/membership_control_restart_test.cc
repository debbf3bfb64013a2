#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

#include "bench/model/membership_fleet.h"

namespace lacewingferry {
namespace {

using model::MembershipFleet;
using model::MembershipFleetSettings;
using std::chrono::milliseconds;

constexpr std::uint64_t kSeeds = 50;
constexpr milliseconds kLimit{2000};
constexpr milliseconds kLeaseRenewal{200};

/** Control processes have only each other as seeds. After all of them restart
 * at once, they can learn of the proxies only from messages that the proxies
 * send. */
class MembershipControlRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipControlRestartTest);
  CPPUNIT_TEST(RediscoversProxiesAfterAllControlRestarts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RediscoversProxiesAfterAllControlRestarts() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleetSettings settings;
      settings.seed = seed;
      settings.control_seeds = true;
      MembershipFleet fleet(settings);
      this->AwaitConvergence(fleet, settings, "start", seed);
      this->RestartControl(fleet, settings);
      this->AwaitConvergence(fleet, settings, "restart", seed);
    }
  }

 private:
  static void RestartControl(MembershipFleet& fleet,
                             const MembershipFleetSettings& settings) {
    const std::size_t end = settings.proxies + settings.controls;
    for (std::size_t i = settings.proxies; i < end; ++i) fleet.Kill(i);
    for (std::size_t i = settings.proxies; i < end; ++i) fleet.Start(i);
  }

  /** Waits until the fleet converges, while every proxy sends lease renewals to
   * every control process. */
  static void AwaitConvergence(MembershipFleet& fleet,
                               const MembershipFleetSettings& settings,
                               const std::string& when, std::uint64_t seed) {
    for (milliseconds spent{0}; spent < kLimit; spent += kLeaseRenewal) {
      fleet.RunFor(kLeaseRenewal);
      if (fleet.Converged()) return;
      for (std::size_t i = 0; i < settings.controls; ++i) {
        auto& control = fleet.processes[settings.proxies + i];
        for (std::size_t proxy = 0; proxy < settings.proxies; ++proxy) {
          const ProxyInfo& info = fleet.processes[proxy].info;
          control.node->OnContact(fleet.queue.Now(), info.id, info.peer_url);
        }
      }
    }
    CPPUNIT_FAIL("fleet did not converge within 2 s after " + when +
                 ", seed=" + std::to_string(seed));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipControlRestartTest);

}  // namespace
}  // namespace lacewingferry
