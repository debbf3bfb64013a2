#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "bench/model/session_gateway.h"
#include "lacewingferry/adapters/histogram/gauge_text.h"
#include "tests/support/source_text.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

class SessionMetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionMetricsTest);
  CPPUNIT_TEST(GaugesOfAProxyAreCatalogued);
  CPPUNIT_TEST(GaugesOfANameStandTogether);
  CPPUNIT_TEST(LabelsEndWhereTheyShould);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GaugesOfAProxyAreCatalogued() {
    model::SessionGateway gateway;
    gateway.Publish();
    gateway.Lease(milliseconds(5000));
    gateway.Vouch();
    gateway.Run(milliseconds(100));
    const std::string page = testing::SourceText("docs/METRICS.md");
    const auto gauges = gateway.Decisions().Gauges(gateway.Queue().Now());
    CPPUNIT_ASSERT(gauges.size() >= 9);
    for (const Gauge& gauge : gauges) {
      CPPUNIT_ASSERT_MESSAGE(
          gauge.name, page.find("`" + gauge.name + "`") != std::string::npos);
    }
  }

  void GaugesOfANameStandTogether() {
    const std::string text = FormatGauges(
        {{"b", "", 1}, {"a", "x", 2}, {"b", "y", 3}, {"a", "", 0.5}});
    CPPUNIT_ASSERT_EQUAL(std::string("# TYPE a gauge\na{database=\"x\"} 2\n"
                                     "a 0.5\n# TYPE b gauge\nb 1\n"
                                     "b{database=\"y\"} 3\n"),
                         text);
  }

  // Guards against a database's name that ends its label, and the line, and
  // begins a metric of another name.
  void LabelsEndWhereTheyShould() {
    const std::string text = FormatGauges(
        {{"a", "x\"} 2\nferry_sessions 7\n#", 1}, {"a", "y\\", 2}});
    CPPUNIT_ASSERT_EQUAL(
        std::string("# TYPE a gauge\n"
                    "a{database=\"x\\\"} 2\\nferry_sessions 7\\n#\"} 1\n"
                    "a{database=\"y\\\\\"} 2\n"),
        text);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionMetricsTest);

}  // namespace
}  // namespace lacewingferry
