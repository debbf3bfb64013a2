#include "standin/standin_options.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "lacewingferry/core/finding.h"

namespace lacewingferry::testing {
namespace {

using standin::ParseStandinOptions;

standin::StandinOptions Parse(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(),
                   {"standin_db", "--member", "a", "--database", "d", "--group",
                    "g", "--zone", "z"});
  return ParseStandinOptions(static_cast<int>(arguments.size()),
                             arguments.data());
}

std::size_t CountFindings(const std::vector<const char*>& arguments) {
  try {
    Parse(arguments);
    return 0;
  } catch (const FindingsError& error) {
    return error.Findings().size();
  }
}

class StandinOptionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinOptionsTest);
  CPPUNIT_TEST(ReadsAllOptions);
  CPPUNIT_TEST(ReportsAllMistakesTogether);
  CPPUNIT_TEST(RefusesEachWrongValue);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAllOptions() {
    const auto settings =
        Parse({"--port", "15", "--slots", "2", "--follow", "127.0.0.1:9",
               "--lag", "50ms", "--announce", "127.0.0.1:1", "--announce",
               "127.0.0.2:2", "--drain", "2s", "--connect-delay", "30ms"})
            .settings;
    CPPUNIT_ASSERT_EQUAL(15, int{settings.postgres.endpoint.port});
    CPPUNIT_ASSERT_EQUAL(2U, settings.postgres.slots);
    CPPUNIT_ASSERT_EQUAL(9, int{settings.member.follow.port});
    CPPUNIT_ASSERT(settings.member.lag == std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), settings.announcer.proxies.size());
    CPPUNIT_ASSERT(settings.drain == std::chrono::seconds(2));
    CPPUNIT_ASSERT(settings.postgres.delays.connect ==
                   std::chrono::milliseconds(30));
  }

  void ReportsAllMistakesTogether() {
    const char* const name = "standin_db";
    try {
      ParseStandinOptions(1, &name);
      CPPUNIT_FAIL("four options are required");
    } catch (const FindingsError& error) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(4), error.Findings().size());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), CountFindings({"--lag", "5", "--port",
                                                        "x", "--drain", "s"}));
  }

  void RefusesEachWrongValue() {
    const std::vector<std::vector<const char*>> wrong{
        {"--lag", "10"},           {"--lag", "10m"},
        {"--lag", "-10ms"},        {"--lag", "25000min"},
        {"--port", "65536"},       {"--slots", "0"},
        {"--follow", "127.0.0.1"}, {"--follow", "example.org:1"},
        {"--announce", "x"},       {"--data", "/no/such/folder"},
        {"--unknown", ""},         {"--announce-interval", "0s"},
        {"--host", "example.org"}};
    for (const auto& arguments : wrong) {
      CPPUNIT_ASSERT_MESSAGE(arguments[0], CountFindings(arguments) > 0);
    }
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1),
        CountFindings({"--initial-primary", "--follow", "127.0.0.1:1"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinOptionsTest);

}  // namespace
}  // namespace lacewingferry::testing
