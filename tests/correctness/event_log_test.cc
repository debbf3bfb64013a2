#include "lacewingferry/adapters/log4cxx/event_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "lacewingferry/app/hybrid_wall_clock.h"
#include "lacewingferry/app/recent_events.h"
#include "lacewingferry/app/timeline_json.h"
#include "lacewingferry/app/timeline_text.h"
#include "lacewingferry/core/errors.h"
#include "tests/support/temporary_file.h"

namespace lacewingferry {
namespace {

constexpr std::size_t kThreads = 4;
constexpr std::size_t kEvents = 200;

ClockPort FixedClock() {
  ClockPort clock;
  clock.wall_now = [] {
    return std::chrono::system_clock::time_point(
        std::chrono::microseconds(1764844698000042));
  };
  return clock;
}

class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(WritesOneJsonObjectALine);
  CPPUNIT_TEST(LeavesOutLowerLevels);
  CPPUNIT_TEST(ShowsAnObserverWhatItWrites);
  CPPUNIT_TEST(KeepsLinesOfSeveralThreadsWhole);
  CPPUNIT_TEST(ReportsAFileThatCannotBeOpened);
  CPPUNIT_TEST(LongTextsAreCut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WritesOneJsonObjectALine() {
    const TemporaryFile file("");
    const EventPort log =
        MakeEventLog(LogSettings{file.Path(), "info"}, NodeId("proxy-1"),
                     "proxy", FixedClock());
    log.record(Event{EventCode::kListening,
                     EventLevel::kWarning,
                     {{"listen", "127.0.0.1:1"}, {"text", "a\n\"\xc3\xa9"}}});
    CPPUNIT_ASSERT_EQUAL(
        std::string("{\"time\":\"2025-12-04T10:38:18.000042Z\",\"level\":"
                    "\"warning\",\"event\":1004,\"name\":\"listening\",\"node\""
                    ":\"proxy-1\",\"program\":\"proxy\",\"fields\":{\"listen\":"
                    "\"127.0.0.1:1\",\"text\":\"a\\n\\\"\\u00e9\"}}\n"),
        file.Content());
  }

  // Guards against a line that can't be read: one with a client's identifier of
  // several KB was cut off at the end of what the output takes at once.
  void LongTextsAreCut() {
    const TemporaryFile file("");
    const EventPort log =
        MakeEventLog(LogSettings{file.Path(), "info"}, NodeId("proxy-1"),
                     "proxy", FixedClock());
    log.record(Event{EventCode::kListening,
                     EventLevel::kInfo,
                     {{"text", std::string(1U << 20U, '\n')}}});
    CPPUNIT_ASSERT(file.Content().size() < 2048);
    const std::string whole(200, 'x');
    log.record(
        Event{EventCode::kListening, EventLevel::kInfo, {{"text", whole}}});
    CPPUNIT_ASSERT(file.Content().find(whole + "\"") != std::string::npos);
  }

  void LeavesOutLowerLevels() {
    const TemporaryFile file("");
    const EventPort log =
        MakeEventLog(LogSettings{file.Path(), "warning"}, NodeId("proxy-1"),
                     "proxy", FixedClock());
    log.record(Event{EventCode::kListening, EventLevel::kInfo, {}});
    CPPUNIT_ASSERT_EQUAL(std::string(), file.Content());
  }

  void ShowsAnObserverWhatItWrites() {
    const TemporaryFile file("");
    RecentEvents recent(2);
    const EventPort log =
        MakeEventLog(LogSettings{file.Path(), "info"}, NodeId("proxy-1"),
                     "proxy", MakeHybridWallClock(FixedClock()).clock,
                     [&](const TimelineEntry& entry) { recent.Add(entry); });
    for (const char* text : {"a", "b", "c"}) {
      log.record(
          Event{EventCode::kListening, EventLevel::kInfo, {{"x", text}}});
    }
    log.record(Event{EventCode::kListening, EventLevel::kDebug, {}});
    std::vector<TimelineEntry> written = ReadLogLines(file.Content());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, written.size());
    CPPUNIT_ASSERT(written[0].time < written[1].time);
    written.erase(written.begin());
    CPPUNIT_ASSERT_EQUAL(TimelineText(written), TimelineText(recent.All()));
  }

  void KeepsLinesOfSeveralThreadsWhole() {
    const TemporaryFile file("");
    const EventPort log =
        MakeEventLog(LogSettings{file.Path(), "info"}, NodeId("proxy-1"),
                     "proxy", FixedClock());
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (std::size_t i = 0; i < kThreads; ++i) {
      threads.emplace_back([&log] {
        for (std::size_t j = 0; j < kEvents; ++j) {
          log.record(Event{EventCode::kListening, EventLevel::kInfo, {}});
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const std::string content = file.Content();
    const std::string line = content.substr(0, content.find('\n') + 1);
    CPPUNIT_ASSERT_EQUAL(line.size() * kThreads * kEvents, content.size());
    CPPUNIT_ASSERT_EQUAL(kThreads * kEvents,
                         static_cast<std::size_t>(
                             std::count(content.begin(), content.end(), '\n')));
  }

  void ReportsAFileThatCannotBeOpened() {
    CPPUNIT_ASSERT_THROW(MakeEventLog(LogSettings{"no/such/folder/log", "info"},
                                      NodeId("proxy-1"), "proxy", FixedClock()),
                         UserError);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

}  // namespace
}  // namespace lacewingferry
