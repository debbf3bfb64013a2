#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "standin/platform/platform_demo.h"
#include "tests/support/program_folder.h"

namespace lacewingferry::testing {
namespace {

class ProcessesPlatformDemoTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesPlatformDemoTest);
  CPPUNIT_TEST(ShortDemoKeepsItsPromises);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShortDemoKeepsItsPromises() {
    standin::PlatformDemoOptions options;
    options.programs = ProgramFolder();
    options.length = std::chrono::milliseconds(12000);
    std::ostringstream out;
    const bool kept = standin::RunPlatformDemo(options, out);
    CPPUNIT_ASSERT_MESSAGE(out.str(), kept);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesPlatformDemoTest);

}  // namespace
}  // namespace lacewingferry::testing
