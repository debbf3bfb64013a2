#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>

#include "bench/model/overload.h"

namespace lacewingferry {
namespace {

using model::OverloadOptions;
using model::OverloadResult;
using model::RunOverload;
using std::chrono::milliseconds;

/** A slot serves this many writes of 10 ms a second. */
constexpr std::uint32_t kWritesPerSlot = 100;

OverloadOptions Offered(const model::FleetOptions& fleet, std::size_t callers,
                        std::uint32_t times_capacity) {
  OverloadOptions options;
  options.fleet = fleet;
  options.callers = callers;
  options.timeout = milliseconds(500);
  options.offered_per_second = fleet.slots * kWritesPerSlot * times_capacity;
  return options;
}

class WriteOverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WriteOverloadTest);
  CPPUNIT_TEST(KraanwaterKeepsItsGoodputAtTwiceTheCapacity);
  CPPUNIT_TEST(WanjiruKeepsItsGoodputAtTwiceTheCapacity);
  CPPUNIT_TEST(WaitsStayBoundedAtThreeTimesTheCapacity);
  CPPUNIT_TEST(StandingCallersAreNotRefused);
  CPPUNIT_TEST(NoSessionStarvesBesideAHeavyCustomer);
  CPPUNIT_TEST(ReadsDontCrowdOutWrites);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KraanwaterKeepsItsGoodputAtTwiceTheCapacity() {
    this->CheckGoodput(model::KraanwaterOptions(), 75);
  }

  void WanjiruKeepsItsGoodputAtTwiceTheCapacity() {
    this->CheckGoodput(model::WanjiruOptions(), 65);
  }

  void WaitsStayBoundedAtThreeTimesTheCapacity() {
    this->CheckWaits(model::KraanwaterOptions(), 75);
    this->CheckWaits(model::WanjiruOptions(), 65);
  }

  void StandingCallersAreNotRefused() {
    OverloadOptions options;
    options.timeout = milliseconds(5000);
    options.fleet = model::KraanwaterOptions();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, RunOverload(options).refused_early);
    options.fleet = model::WanjiruOptions();
    options.callers = 65;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, RunOverload(options).refused_early);
  }

  void NoSessionStarvesBesideAHeavyCustomer() {
    OverloadOptions options;
    options.fleet = model::KraanwaterOptions();
    options.first_customer_percent = 80;
    CPPUNIT_ASSERT(RunOverload(options).least_served > 0);
    options.fleet = model::WanjiruOptions();
    options.callers = 65;
    CPPUNIT_ASSERT(RunOverload(options).least_served > 0);
  }

  void ReadsDontCrowdOutWrites() {
    OverloadOptions options = Offered(model::WanjiruOptions(), 65, 1);
    options.offered_per_second /= 4;
    const OverloadResult alone = RunOverload(options);
    options.offered_per_second *= 10;
    options.read_percent = 90;
    const OverloadResult beside = RunOverload(options);
    CPPUNIT_ASSERT(beside.served_writes * 10 >= alone.served_writes * 9);
  }

 private:
  /** The callers would wait for 5 s. */
  void CheckWaits(const model::FleetOptions& fleet, std::size_t callers) {
    OverloadOptions options = Offered(fleet, callers, 3);
    options.timeout = milliseconds(5000);
    options.length = milliseconds(20000);
    const OverloadResult result = RunOverload(options);
    const std::uint64_t capacity =
        std::uint64_t{20} * fleet.slots * kWritesPerSlot;
    CPPUNIT_ASSERT(result.served_writes * 10 >= capacity * 9);
    CPPUNIT_ASSERT(result.median <= milliseconds(1000));
    // The queue of the first second, before the bound holds, is in it.
    CPPUNIT_ASSERT(result.p99 <= milliseconds(3000));
    // What was refused did not run: nothing is committed but what was
    // answered, is unknown or waits for its confirmation at the end.
    constexpr std::uint64_t kAwaitingConfirmation = 100;
    CPPUNIT_ASSERT(result.committed <= result.served_writes + result.unknown +
                                           kAwaitingConfirmation);
    CPPUNIT_ASSERT(result.refused_early > result.served_writes);
  }

  void CheckGoodput(const model::FleetOptions& fleet, std::size_t callers) {
    const OverloadResult at = RunOverload(Offered(fleet, callers, 1));
    const OverloadResult above = RunOverload(Offered(fleet, callers, 2));
    CPPUNIT_ASSERT(above.served_writes * 10 >= at.served_writes * 9);
    CPPUNIT_ASSERT(above.least_served > 0);
    // A write whose answer comes too late was served for nothing.
    CPPUNIT_ASSERT(above.unknown * 100 <= above.served_writes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WriteOverloadTest);

}  // namespace
}  // namespace lacewingferry
