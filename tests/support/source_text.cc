#include "tests/support/source_text.h"

#include <cppunit/TestAssert.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace lacewingferry::testing {

std::string SourceText(const std::string& path) {
  const char* folder = std::getenv("FERRY_SOURCE_DIR");
  CPPUNIT_ASSERT_MESSAGE("FERRY_SOURCE_DIR is not set", folder != nullptr);
  std::ifstream stream(std::string(folder) + "/" + path);
  CPPUNIT_ASSERT_MESSAGE(path, stream.good());
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace lacewingferry::testing
