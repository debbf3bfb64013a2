#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "bench/report/figures.h"
#include "bench/report/gap_svg.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using namespace std::chrono_literals;

using report::CompareFigures;
using report::FigureRow;
using report::FormatFigures;

class BenchFiguresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BenchFiguresTest);
  CPPUNIT_TEST(ComparesWithEarlierFigures);
  CPPUNIT_TEST(RefusesOtherText);
  CPPUNIT_TEST(DrawsEveryPart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ComparesWithEarlierFigures() {
    std::vector<FigureRow> rows = {
        {"zone cut", {{"gap_median_ms", 308.0004}, {"terms", 500}}}};
    const std::string earlier = FormatFigures("failover_bench", rows);
    CPPUNIT_ASSERT_EQUAL(std::string("2 figures as before\n"),
                         CompareFigures(earlier, rows));
    rows[0].figures[0].second = 309;
    rows[0].figures.emplace_back("lost_writes", 0);
    const std::string changed = CompareFigures(earlier, rows);
    CPPUNIT_ASSERT(changed.find("308.0 -> 309.0") != std::string::npos);
    CPPUNIT_ASSERT(changed.find("new -> 0.0") != std::string::npos);
    CPPUNIT_ASSERT(changed.find("1 figures as before") != std::string::npos);
  }

  void RefusesOtherText() {
    CPPUNIT_ASSERT_THROW(CompareFigures("", {}), UserError);
    CPPUNIT_ASSERT_THROW(CompareFigures("{\"rows\":[1]}", {}), UserError);
  }

  void DrawsEveryPart() {
    const std::string drawn = report::DrawGaps(
        {{"zone cut", {{400ms, 50ms, 30ms, 20ms}, {200ms, 10ms, 5ms, 5ms}}},
         {"stalls", {}}});
    std::size_t bars = 0;
    for (std::size_t at = drawn.find("<rect x"); at != std::string::npos;
         at = drawn.find("<rect x", at + 1)) {
      ++bars;
    }
    // Four in the legend, and four for each of two gaps.
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, bars);
    CPPUNIT_ASSERT(drawn.find("worst 500 ms") != std::string::npos);
    CPPUNIT_ASSERT(drawn.find("stalls") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BenchFiguresTest);

}  // namespace
}  // namespace lacewingferry
