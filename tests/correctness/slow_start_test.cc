#include "lacewingferry/decisions/choice/slow_start.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class SlowStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowStartTest);
  CPPUNIT_TEST(ShareGrowsFromATenthToAll);
  CPPUNIT_TEST(AMemberThatDidntReturnGetsItsFullShare);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShareGrowsFromATenthToAll() {
    SlowStart slow_start;
    const steady_clock::time_point begin;
    slow_start.Begin(begin);
    CPPUNIT_ASSERT_EQUAL(10, this->AdmittedOf100(slow_start, begin));
    CPPUNIT_ASSERT_EQUAL(
        50, this->AdmittedOf100(slow_start, begin + milliseconds(2500)));
    CPPUNIT_ASSERT_EQUAL(
        100, this->AdmittedOf100(slow_start, begin + milliseconds(5000)));
  }

  void AMemberThatDidntReturnGetsItsFullShare() {
    SlowStart slow_start;
    CPPUNIT_ASSERT_EQUAL(100, this->AdmittedOf100(slow_start, {}));
  }

 private:
  int AdmittedOf100(SlowStart& slow_start, steady_clock::time_point at) const {
    int admitted = 0;
    for (int i = 0; i < 100; ++i) admitted += slow_start.Admit(at) ? 1 : 0;
    return admitted;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowStartTest);

}  // namespace
}  // namespace lacewingferry
