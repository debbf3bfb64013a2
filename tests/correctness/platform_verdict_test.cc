#include "standin/platform/platform_verdict.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace lacewingferry::testing {
namespace {

using standin::JudgePlatformRun;
using standin::PlatformRecord;
using standin::PlatformVerdict;
using standin::StoreFate;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

PlatformVerdict Judge(const PlatformRecord& record,
                      std::map<std::string, std::size_t> stored) {
  return JudgePlatformRun(
      record, [&stored](const std::string& item) { return stored[item]; });
}

class PlatformVerdictTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformVerdictTest);
  CPPUNIT_TEST(KeptPromisesAreCounted);
  CPPUNIT_TEST(EachBrokenPromiseIsSeen);
  CPPUNIT_TEST(GapIsBetweenAcknowledgedWritesOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeptPromisesAreCounted() {
    PlatformRecord record;
    record.stores = {{"a", StoreFate::kAcknowledged, {}},
                     {"b", StoreFate::kNotRun, {}},
                     {"c", StoreFate::kUnknown, {}},
                     {"d", StoreFate::kUnknown, {}}};
    const PlatformVerdict verdict = Judge(record, {{"a", 1}, {"c", 1}});
    CPPUNIT_ASSERT(verdict.Kept());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, verdict.acknowledged);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, verdict.not_run);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, verdict.unknown);
  }

  void EachBrokenPromiseIsSeen() {
    PlatformRecord lost;
    lost.stores = {{"a", StoreFate::kAcknowledged, {}}};
    CPPUNIT_ASSERT(!Judge(lost, {}).Kept());
    CPPUNIT_ASSERT(!Judge(lost, {{"a", 2}}).Kept());
    PlatformRecord refused;
    refused.stores = {{"a", StoreFate::kNotRun, {}}};
    CPPUNIT_ASSERT(!Judge(refused, {{"a", 1}}).Kept());
    PlatformRecord unknown;
    unknown.stores = {{"a", StoreFate::kUnknown, {}}};
    CPPUNIT_ASSERT(!Judge(unknown, {{"a", 2}}).Kept());
    PlatformRecord missed;
    missed.missed_own_stores = 1;
    CPPUNIT_ASSERT(!Judge(missed, {}).Kept());
  }

  void GapIsBetweenAcknowledgedWritesOnly() {
    const steady_clock::time_point start;
    PlatformRecord record;
    record.stores = {{"b", StoreFate::kAcknowledged, start + milliseconds(700)},
                     {"c", StoreFate::kNotRun, start + milliseconds(300)},
                     {"a", StoreFate::kAcknowledged, start}};
    const PlatformVerdict verdict = Judge(record, {{"a", 1}, {"b", 1}});
    CPPUNIT_ASSERT_EQUAL(milliseconds(700).count(),
                         verdict.longest_gap.count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformVerdictTest);

}  // namespace
}  // namespace lacewingferry::testing
