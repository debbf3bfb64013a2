#include "lacewingferry/decisions/switchover/zone_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const AvailabilityZone kZone("z0");
constexpr milliseconds kReportTimeout{4000};

class ZoneDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneDirectoryTest);
  CPPUNIT_TEST(ANewLeaderWaitsUntilAllHaveReported);
  CPPUNIT_TEST(FleetThatStartsTogetherDoesNotWait);
  CPPUNIT_TEST(ProxyThatOutlivedControlKeepsTheWait);
  CPPUNIT_TEST(LeaderThatRanForLongKeepsTheWait);
  CPPUNIT_TEST(DigestIsIndependentOfReportOrder);
  CPPUNIT_TEST(SilentAndDrainingProxiesAreLeftOut);
  CPPUNIT_TEST(AnotherZoneChangesTheDigest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->directory = ZoneDirectory(kReportTimeout);
    this->directory.Reset(this->start, false);
  }

  void ANewLeaderWaitsUntilAllHaveReported() {
    this->Report("p0", milliseconds(100));
    CPPUNIT_ASSERT(
        !this->directory.ProxiesIn(this->At(milliseconds(200)), kZone));
    CPPUNIT_ASSERT(!this->directory.TakeCompleted(this->At(milliseconds(200))));
    this->Report("p1", milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Now().proxies.size());
  }

  // All power returned: nobody knows a list, and the proxies report within a
  // moment of each other.
  void FleetThatStartsTogetherDoesNotWait() {
    this->directory.Reset(this->start, true);
    this->Report("p0", milliseconds(100), false);
    this->Report("p1", milliseconds(250), false);
    CPPUNIT_ASSERT(
        !this->directory.ProxiesIn(this->At(milliseconds(400)), kZone));
    const auto list =
        this->directory.ProxiesIn(this->At(milliseconds(500)), kZone);
    CPPUNIT_ASSERT(list.has_value());
    CPPUNIT_ASSERT(this->directory.TakeCompleted(this->At(milliseconds(500))));
    CPPUNIT_ASSERT(!this->directory.TakeCompleted(this->At(milliseconds(510))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list->proxies.size());
    // A straggler, which reports a list that it was given by then.
    this->Report("p2", milliseconds(600), false);
    this->Report("p0", milliseconds(610), true);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{3},
        this->directory.ProxiesIn(this->At(milliseconds(620)), kZone)
            ->proxies.size());
  }

  // The core was killed and is back; the proxies ran on with their lists.
  void ProxyThatOutlivedControlKeepsTheWait() {
    this->directory.Reset(this->start, true);
    this->Report("p0", milliseconds(50), false);
    this->Report("p1", milliseconds(100), true);
    CPPUNIT_ASSERT(
        !this->directory.ProxiesIn(this->At(milliseconds(1400)), kZone));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Now().proxies.size());
  }

  // A proxy that was just started may be the first to find a new leader.
  void LeaderThatRanForLongKeepsTheWait() {
    this->Report("p0", milliseconds(50), false);
    CPPUNIT_ASSERT(
        !this->directory.ProxiesIn(this->At(milliseconds(1400)), kZone));
  }

  void DigestIsIndependentOfReportOrder() {
    ZoneDirectory other(kReportTimeout);
    other.Reset(this->start, false);
    for (const char* name : {"p0", "p1", "p2"}) this->Report(name);
    for (const char* name : {"p2", "p0", "p1"}) {
      other.OnReport(this->start, NodeId(name), kZone, false, true);
    }
    const ZoneProxies other_result = *other.ProxiesIn(this->At(kLater), kZone);
    CPPUNIT_ASSERT_EQUAL(this->Now().digest, other_result.digest);
    CPPUNIT_ASSERT(this->Now().proxies == other_result.proxies);
  }

  void SilentAndDrainingProxiesAreLeftOut() {
    for (const char* name : {"p0", "p1", "p2"}) this->Report(name);
    const std::uint64_t before = this->Now().digest;
    this->directory.OnReport(this->At(kLater), NodeId("p1"), kZone, true, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Now().proxies.size());
    CPPUNIT_ASSERT(this->Now().digest != before);
    this->Report("p2", kReportTimeout);
    this->directory.DropSilent(this->At(kReportTimeout + milliseconds(1)));
    CPPUNIT_ASSERT(this->Now().proxies == std::vector<NodeId>{NodeId("p2")});
  }

  void AnotherZoneChangesTheDigest() {
    this->Report("p0");
    const std::uint64_t alone = this->Now().digest;
    this->directory.OnReport(this->start, NodeId("q0"), AvailabilityZone("z1"),
                             false, true);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, this->Now().zones);
    CPPUNIT_ASSERT(this->Now().digest != alone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Now().proxies.size());
  }

 private:
  static constexpr milliseconds kLater{2000};

  steady_clock::time_point At(milliseconds after) const {
    return this->start + after;
  }
  void Report(const char* name, milliseconds after = milliseconds(0),
              bool knows_list = true) {
    this->directory.OnReport(this->At(after), NodeId(name), kZone, false,
                             knows_list);
  }
  ZoneProxies Now() {
    return *this->directory.ProxiesIn(this->At(kLater), kZone);
  }

  steady_clock::time_point start{milliseconds(1000)};
  ZoneDirectory directory{kReportTimeout};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneDirectoryTest);

}  // namespace
}  // namespace lacewingferry
