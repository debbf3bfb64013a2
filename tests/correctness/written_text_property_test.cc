#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "lacewingferry/adapters/histogram/gauge_text.h"
#include "lacewingferry/adapters/log4cxx/event_log.h"
#include "lacewingferry/app/timeline_svg.h"
#include "lacewingferry/app/timeline_text.h"
#include "tests/support/temporary_file.h"

namespace lacewingferry {
namespace {

const std::vector<std::string> kParts = {"db",
                                         "\"",
                                         "\\",
                                         "\n",
                                         "\r\n",
                                         "\t",
                                         "{",
                                         "}",
                                         "\x1b[2J",
                                         "\x7f",
                                         "\x80",
                                         "\xc3\xa9",
                                         "\xc2\x9b",
                                         "\xe2\x80\xae",
                                         "} 1\nferry_term 9",
                                         "\",\"event\":1",
                                         "=",
                                         "#",
                                         " ",
                                         "\\n",
                                         std::string(1, '\0')};

std::string AnyText(std::mt19937& random) {
  std::string text;
  for (std::size_t i = 1 + random() % 5; i > 0; --i) {
    text += kParts[random() % kParts.size()];
  }
  return text;
}

std::vector<std::string> LinesOf(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

bool IsAscii(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return static_cast<unsigned char>(letter) < 0x80;
  });
}

/** Reads a line of the Prometheus text format with one label: the label's value
 * as it was before it was escaped, and what follows the label. */
std::pair<std::string, std::string> ReadLabel(const std::string& line) {
  std::string value;
  std::size_t at = line.find('"') + 1;
  for (; at < line.size() && line[at] != '"'; ++at) {
    if (line[at] != '\\') {
      value += line[at];
      continue;
    }
    ++at;
    value += line.at(at) == 'n' ? '\n' : line[at];
  }
  return {value, line.substr(std::min(at + 1, line.size()))};
}

ClockPort FixedClock() {
  ClockPort clock;
  clock.wall_now = [] { return std::chrono::system_clock::time_point(); };
  return clock;
}

// Guards against a text of a client or an operator that ends the line, the
// field or the label in which it is written for an operator.
class WrittenTextPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WrittenTextPropertyTest);
  CPPUNIT_TEST(EachEventIsOneLineWithItsFields);
  CPPUNIT_TEST(EachGaugeIsOneLineWithItsLabel);
  CPPUNIT_TEST(EachEntryOfATimeLineIsOneLine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachEventIsOneLineWithItsFields() {
    CPPUNIT_ASSERT(rc::check("events", [](unsigned seed) {
      std::mt19937 random(seed);
      const TemporaryFile file("");
      const EventPort log = MakeEventLog(LogSettings{file.Path(), "info"},
                                         NodeId("n"), "p", FixedClock());
      const std::string first = AnyText(random);
      const std::string second = AnyText(random);
      log.record(Event{EventCode::kListening,
                       EventLevel::kInfo,
                       {{"first", first}, {"second", second}}});
      const auto lines = LinesOf(file.Content());
      RC_ASSERT(lines.size() == 1U);
      const auto read = nlohmann::json::parse(lines[0], nullptr, false);
      RC_ASSERT(read.is_object());
      RC_ASSERT(read.at("event") == 1004);
      RC_ASSERT(read.at("fields").size() == 2U);
      // Bytes that are no text are replaced.
      if (IsAscii(first)) RC_ASSERT(read.at("fields").at("first") == first);
      if (IsAscii(second)) RC_ASSERT(read.at("fields").at("second") == second);
    }));
  }

  void EachGaugeIsOneLineWithItsLabel() {
    CPPUNIT_ASSERT(rc::check("gauges", [](unsigned seed) {
      std::mt19937 random(seed);
      const std::string database = AnyText(random);
      const std::string customer = AnyText(random);
      const auto lines = LinesOf(
          FormatGauges({Gauge{"a", database, 7}, Gauge{"b", "", 8, customer}}));
      RC_ASSERT(lines.size() == 4U);
      RC_ASSERT(ReadLabel(lines[1]) ==
                std::make_pair(database, std::string("} 7")));
      RC_ASSERT(ReadLabel(lines[3]) ==
                std::make_pair(customer, std::string("} 8")));
    }));
  }

  void EachEntryOfATimeLineIsOneLine() {
    CPPUNIT_ASSERT(rc::check("time line", [](unsigned seed) {
      std::mt19937 random(seed);
      TimelineEntry entry;
      entry.name = AnyText(random);
      entry.node = NodeId(AnyText(random));
      entry.fields = {{AnyText(random), AnyText(random)}};
      const std::string text = TimelineText({entry, entry});
      RC_ASSERT(std::count(text.begin(), text.end(), '\n') == 2);
      RC_ASSERT(text.find('\x1b') == std::string::npos);
      RC_ASSERT(text.find('\r') == std::string::npos);
      RC_ASSERT(text.find("\xc2\x9b") == std::string::npos);
      RC_ASSERT(text.find("\xe2\x80\xae") == std::string::npos);
      const std::string svg = TimelineSvg({entry});
      RC_ASSERT(svg.find('\x1b') == std::string::npos);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WrittenTextPropertyTest);

}  // namespace
}  // namespace lacewingferry
