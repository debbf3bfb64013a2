#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <sstream>

#include "standin/platform/platform_demo.h"

namespace lacewingferry::testing {
namespace {

class ProcessesPlatformDemoTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesPlatformDemoTest);
  CPPUNIT_TEST(ShortDemoKeepsItsPromises);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShortDemoKeepsItsPromises() {
    standin::PlatformDemoOptions options;
    options.programs = std::getenv("FERRY_BINARY_DIR");
    options.length = std::chrono::milliseconds(12000);
    std::ostringstream out;
    const bool kept = standin::RunPlatformDemo(options, out);
    CPPUNIT_ASSERT_MESSAGE(out.str(), kept);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesPlatformDemoTest);

}  // namespace
}  // namespace lacewingferry::testing
