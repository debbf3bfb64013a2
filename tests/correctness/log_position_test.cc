#include "lacewingferry/core/log_position.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace lacewingferry {
namespace {

class LogPositionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogPositionTest);
  CPPUNIT_TEST(OrdersByTermBeforeOffset);
  CPPUNIT_TEST(IsTotallyOrdered);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OrdersByTermBeforeOffset() {
    CPPUNIT_ASSERT((LogPosition{1, 900} < LogPosition{2, 3}));
    CPPUNIT_ASSERT((LogPosition{2, 3} < LogPosition{2, 4}));
  }

  void IsTotallyOrdered() {
    CPPUNIT_ASSERT(rc::check(
        [](std::uint8_t ta, std::uint8_t oa, std::uint8_t tb, std::uint8_t ob) {
          const LogPosition a{ta, oa};
          const LogPosition b{tb, ob};
          RC_ASSERT((a < b) + (b < a) + (a == b) == 1);
          RC_ASSERT((a <= b) == !(b < a));
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogPositionTest);

}  // namespace
}  // namespace lacewingferry
