#include <cppunit/extensions/HelperMacros.h>

#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "lacewingferry/core/events.h"
#include "tests/support/source_text.h"

namespace lacewingferry {
namespace {

/** One row of the catalogue. */
struct Row {
  std::string name;
  std::string level;
  std::string meaning;
  std::string action;
};

/** The numbers of the enumeration, read from its source because C++ can't
 * list enumerators. */
std::vector<int> CodesOfTheHeader() {
  const std::string text =
      testing::SourceText("src/lacewingferry/core/events.h");
  const std::regex enumerator(R"(\n  k\w+ = (\d+),)");
  std::vector<int> codes;
  for (std::sregex_iterator i(text.begin(), text.end(), enumerator), end;
       i != end; ++i) {
    codes.push_back(std::stoi((*i)[1]));
  }
  return codes;
}

std::vector<std::pair<int, Row>> RowsOfTheCatalogue() {
  std::istringstream text(testing::SourceText("docs/EVENTS.md"));
  const std::regex row(
      R"(\| (\d+) \| (\w+) \| (\w+) \| ([^|]+) \| ([^|]+) \|)");
  std::vector<std::pair<int, Row>> rows;
  std::string line;
  while (std::getline(text, line)) {
    if (line.empty() || line.front() != '|' || line.find("| ---") == 0 ||
        line.find("| number") == 0) {
      continue;
    }
    std::smatch match;
    CPPUNIT_ASSERT_MESSAGE(line, std::regex_match(line, match, row));
    rows.emplace_back(std::stoi(match[1]),
                      Row{match[2], match[3], match[4], match[5]});
  }
  return rows;
}

class EventCatalogueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventCatalogueTest);
  CPPUNIT_TEST(ListsEveryEventOnceInOrder);
  CPPUNIT_TEST(GivesTheNameOfEachEvent);
  CPPUNIT_TEST(GivesAKnownLevel);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ListsEveryEventOnceInOrder() {
    std::vector<int> listed;
    for (const auto& [number, row] : RowsOfTheCatalogue()) {
      listed.push_back(number);
    }
    const std::vector<int> codes = CodesOfTheHeader();
    CPPUNIT_ASSERT(!codes.empty());
    const std::set<int> in_order(codes.begin(), codes.end());
    CPPUNIT_ASSERT_EQUAL(codes.size(), in_order.size());
    CPPUNIT_ASSERT_EQUAL(this->Join({in_order.begin(), in_order.end()}),
                         this->Join(listed));
  }

  void GivesTheNameOfEachEvent() {
    for (const auto& [number, row] : RowsOfTheCatalogue()) {
      CPPUNIT_ASSERT_EQUAL(
          std::string(EventName(static_cast<EventCode>(number))), row.name);
    }
  }

  void GivesAKnownLevel() {
    const std::set<std::string> levels = {"debug", "info", "warning", "error"};
    for (const auto& [number, row] : RowsOfTheCatalogue()) {
      CPPUNIT_ASSERT_MESSAGE(row.name, levels.count(row.level) == 1);
    }
  }

 private:
  std::string Join(const std::vector<int>& numbers) {
    std::string text;
    for (const int number : numbers) {
      text += std::to_string(number) + " ";
    }
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventCatalogueTest);

}  // namespace
}  // namespace lacewingferry
