#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

#include "lacewingferry/adapters/json/statement_json.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

CallerRequest Parse(const std::string& more) {
  return ParseCallerRequest(
      R"({"database":"db","kind":"write",)" + more + "}",
      CallerLimits{std::chrono::seconds(1), std::chrono::seconds(9)});
}

// Guards against a statement that a member runs in part: the protocol of
// PostgreSQL ends texts at the first zero byte, and a write was acknowledged
// whose data had been cut off there.
class CallerRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerRequestTest);
  CPPUNIT_TEST(TextsWithAZeroByteAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TextsWithAZeroByteAreRefused() {
    Parse(R"("sql":"SELECT 1","parameters":["a b"])");
    for (const char* more : {R"("sql":"SELECT 1\u0000 WHERE false")",
                             R"("sql":"SELECT 1","parameters":["a\u0000b"])",
                             R"("sql":"SELECT 1","request_id":"a\u0000b")"}) {
      CPPUNIT_ASSERT_THROW_MESSAGE(more, Parse(more), UserError);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerRequestTest);

}  // namespace
}  // namespace lacewingferry
