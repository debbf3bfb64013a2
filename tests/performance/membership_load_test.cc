#include "bench/model/membership_load.h"

#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/adapters/msgpack/peer_codec.h"

namespace lacewingferry {
namespace {

/** What control may cost a process in bytes a second, both ways together. */
constexpr double kBytesPerSecond = 3000;

/** Judges the counts of encoded bytes; the time that the test takes on the
 * machine plays no part. */
class MembershipLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipLoadTest);
  CPPUNIT_TEST(KeepsTheBoundAtTwentyProxies);
  CPPUNIT_TEST(KeepsTheBoundAtAHundredProxies);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsTheBoundAtTwentyProxies() { Judge(20, 3); }
  void KeepsTheBoundAtAHundredProxies() { Judge(100, 13); }

 private:
  static void Judge(std::size_t proxies, std::size_t zones) {
    const model::MembershipLoads loads = model::MeasureMembershipLoad(
        proxies, zones, [](const PeerMessage& message) {
          return EncodePeerMessage(message).size();
        });
    CPPUNIT_ASSERT(loads.idle.other.mean.Bytes() > 0);
    CPPUNIT_ASSERT(loads.churning.relay.mean.Bytes() >=
                   loads.idle.relay.mean.Bytes());
    CPPUNIT_ASSERT(loads.churning.relay.largest.Bytes() < kBytesPerSecond);
    CPPUNIT_ASSERT(loads.churning.other.largest.Bytes() < kBytesPerSecond);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipLoadTest);

}  // namespace
}  // namespace lacewingferry
