#include "tests/support/program_folder.h"

#include <cppunit/TestAssert.h>

#include <cstdlib>

namespace lacewingferry::testing {

std::string ProgramFolder() {
  const char* folder = std::getenv("FERRY_BINARY_DIR");
  CPPUNIT_ASSERT_MESSAGE("FERRY_BINARY_DIR is not set", folder != nullptr);
  return folder;
}

}  // namespace lacewingferry::testing
