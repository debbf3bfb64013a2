#include "bench/model/membership_load.h"

#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/adapters/msgpack/peer_codec.h"

namespace lacewingferry {
namespace {

/** The limit of membership traffic per process, sent and received together. */
constexpr double kMaxBytesPerSecond = 3000;

/** Checks the number of encoded bytes per second of virtual time, which does
 * not depend on the speed of the host. */
class MembershipLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipLoadTest);
  CPPUNIT_TEST(StaysWithinLimitAtTwentyProxies);
  CPPUNIT_TEST(StaysWithinLimitAtAHundredProxies);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StaysWithinLimitAtTwentyProxies() { CheckLoad(20, 3); }
  void StaysWithinLimitAtAHundredProxies() { CheckLoad(100, 13); }

 private:
  static void CheckLoad(std::size_t proxies, std::size_t zones) {
    const model::MembershipLoads loads = model::MeasureMembershipLoad(
        proxies, zones, [](const PeerMessage& message) {
          return EncodePeerMessage(message).size();
        });
    CPPUNIT_ASSERT(loads.idle.other.mean.Bytes() > 0);
    CPPUNIT_ASSERT(loads.churning.relay.mean.Bytes() >=
                   loads.idle.relay.mean.Bytes());
    CPPUNIT_ASSERT(loads.churning.relay.largest.Bytes() < kMaxBytesPerSecond);
    CPPUNIT_ASSERT(loads.churning.other.largest.Bytes() < kMaxBytesPerSecond);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipLoadTest);

}  // namespace
}  // namespace lacewingferry
