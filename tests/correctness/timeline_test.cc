#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

#include "lacewingferry/adapters/json/event_json.h"
#include "lacewingferry/app/timeline_json.h"
#include "lacewingferry/app/timeline_svg.h"
#include "lacewingferry/app/timeline_text.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/core/time_text.h"
#include "lacewingferry/decisions/timeline/failover_phases.h"
#include "lacewingferry/decisions/timeline/hybrid_clock.h"
#include "lacewingferry/decisions/timeline/timeline_merge.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using WallTime = std::chrono::system_clock::time_point;

const HybridTime kStart = ParseTime("2026-12-04T10:00:00.000000Z");

TimelineEntry Entry(milliseconds after, const std::string& node,
                    EventCode code) {
  TimelineEntry entry;
  entry.time = kStart + after;
  entry.node = NodeId(node);
  entry.number = static_cast<std::uint16_t>(code);
  entry.name = EventName(code);
  entry.fields = {{"database", "permit-db-1"}, {"term", "7"}};
  return entry;
}

/** The events of a failover, recorded by control and two proxies. */
std::vector<TimelineEntry> MakeFailover() {
  auto suspicion =
      Entry(milliseconds(100), "control-1", EventCode::kPrimarySuspected);
  suspicion.fields[1].second = "6";
  return MergeTimelines(
      {{Entry(milliseconds(1200), "proxy-2", EventCode::kPrimaryRouted)},
       {suspicion, Entry(milliseconds(600), "control-1", EventCode::kTermBegun),
        Entry(milliseconds(1100), "control-1", EventCode::kPrimaryChosen),
        Entry(milliseconds(1150), "control-1", EventCode::kPrimaryConfirmed)},
       {Entry(milliseconds(1175), "proxy-1", EventCode::kPrimaryRouted)}});
}

class TimelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimelineTest);
  CPPUNIT_TEST(OrdersCauseBeforeEffect);
  CPPUNIT_TEST(IgnoresATimeTooFarAhead);
  CPPUNIT_TEST(MergesByTimeAndDropsDuplicates);
  CPPUNIT_TEST(MeasuresThePhasesOfAFailover);
  CPPUNIT_TEST(LeavesUnknownPhasesUnset);
  CPPUNIT_TEST(SeparatesSuspicionsFromFailovers);
  CPPUNIT_TEST(SkipsMalformedAndTruncatedLogLines);
  CPPUNIT_TEST(FormatsAndParsesAnyTime);
  CPPUNIT_TEST(DrawsAMarkForEachEventAndABarForEachPhase);
  CPPUNIT_TEST(PrintsEachEntryOnOneLine);
  CPPUNIT_TEST_SUITE_END();

 public:
  /** Processes whose clocks are wrong by up to 10 s send messages at random. */
  void OrdersCauseBeforeEffect() {
    CPPUNIT_ASSERT(rc::check([] {
      HybridClock clocks[3];
      HybridTime last[3];
      const auto offsets = *rc::gen::container<std::vector<int>>(
          3, rc::gen::inRange(-10000, 10000));
      WallTime now = WallTime(std::chrono::hours(500000));
      for (int step = 0; step < 50; ++step) {
        now += milliseconds(*rc::gen::inRange(0, 3));
        const int from = *rc::gen::inRange(0, 3);
        const int to = *rc::gen::inRange(0, 3);
        const HybridTime sent =
            clocks[from].Tick(now + milliseconds(offsets[from]));
        RC_ASSERT(sent > last[from]);
        last[from] = sent;
        clocks[to].Receive(sent, now + milliseconds(offsets[to]));
        const HybridTime effect =
            clocks[to].Tick(now + milliseconds(offsets[to]));
        RC_ASSERT(effect > sent);
        last[to] = effect;
      }
    }));
  }

  void IgnoresATimeTooFarAhead() {
    HybridClock clock;
    const WallTime now = kStart;
    clock.Receive(kStart + kMaxTimeAhead + seconds(1), now);
    CPPUNIT_ASSERT(clock.Tick(now) == kStart);
  }

  void MergesByTimeAndDropsDuplicates() {
    const auto a = Entry(milliseconds(1), "a", EventCode::kListening);
    const auto b = Entry(milliseconds(1), "b", EventCode::kListening);
    const auto c = Entry(milliseconds(2), "a", EventCode::kListening);
    const auto merged = MergeTimelines({{a, c}, {b}, {a, c}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, merged.size());
    CPPUNIT_ASSERT(merged[0].node == a.node);
    CPPUNIT_ASSERT(merged[1].node == b.node);
    CPPUNIT_ASSERT(merged[2].time == c.time);
  }

  void MeasuresThePhasesOfAFailover() {
    const std::string text = TimelineText(MakeFailover());
    const std::string expected =
        "failover of permit-db-1 to term 7 at 2026-12-04T10:00:00.600000Z: "
        "detection 500.0 ms, lease 500.0 ms, promotion 50.0 ms, re-routing "
        "50.0 ms\n";
    CPPUNIT_ASSERT_EQUAL(expected, text.substr(text.find("failover of")));
  }

  void LeavesUnknownPhasesUnset() {
    auto merged = MakeFailover();
    merged.resize(3);
    const auto failovers = FindFailovers(merged);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failovers.size());
    CPPUNIT_ASSERT(failovers[0].lease == milliseconds(500));
    CPPUNIT_ASSERT(!failovers[0].promotion);
    CPPUNIT_ASSERT(!failovers[0].rerouting);
  }

  /** A suspicion without a new term is not a failover, and a term may begin
   * without a suspicion. */
  void SeparatesSuspicionsFromFailovers() {
    auto merged = MakeFailover();
    merged.erase(merged.begin() + 1);
    CPPUNIT_ASSERT(FindFailovers(merged).empty());
    merged = MakeFailover();
    merged.erase(merged.begin());
    CPPUNIT_ASSERT(!FindFailovers(merged).at(0).detection);
  }

  void SkipsMalformedAndTruncatedLogLines() {
    std::string log;
    for (const TimelineEntry& entry : MakeFailover()) {
      log += EventToJson(entry).dump() + "\n";
    }
    const auto entries =
        ReadLogLines("{\"time\": 1}\n" + log + "{\"time\":\"2");
    CPPUNIT_ASSERT_EQUAL(TimelineDocument(MakeFailover()),
                         TimelineDocument(entries));
  }

  void FormatsAndParsesAnyTime() {
    CPPUNIT_ASSERT(rc::check([] {
      const HybridTime time(std::chrono::microseconds(
          *rc::gen::inRange<std::int64_t>(0, 4102444800000000)));
      RC_ASSERT(ParseTime(FormatTime(time)) == time);
    }));
    CPPUNIT_ASSERT_THROW(ParseTime("2026-12-04T10:00:00Z"), UserError);
    CPPUNIT_ASSERT_THROW(ParseTime("2026-12-04T10:00:00.000000Z "), UserError);
  }

  void DrawsAMarkForEachEventAndABarForEachPhase() {
    auto merged = MakeFailover();
    merged[0].fields.emplace_back("text", "<&\">");
    const std::string drawing = TimelineSvg(merged);
    CPPUNIT_ASSERT_EQUAL(6, this->Count(drawing, "<circle"));
    CPPUNIT_ASSERT_EQUAL(4, this->Count(drawing, "<rect"));
    CPPUNIT_ASSERT_EQUAL(1, this->Count(drawing, "text=&lt;&amp;&quot;&gt;"));
    CPPUNIT_ASSERT_EQUAL(1, this->Count(TimelineSvg({}), "</svg>"));
  }

 private:
  int Count(const std::string& text, const std::string& part) {
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
      ++count;
    }
    return count;
  }

  // Guards against a client's text in a field that looks like further entries,
  // or that changes the terminal.
  void PrintsEachEntryOnOneLine() {
    TimelineEntry entry;
    entry.name = "session_not_relayed";
    entry.fields = {{"shape", "qa link=7 \"x\""},
                    {"host", "a\n17:59:54.731  proxy-0\x1b[2J\tb"}};
    const std::string text = TimelineText({entry});
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                         std::count(text.begin(), text.end(), '\n'));
    CPPUNIT_ASSERT(text.find(R"( shape="qa link=7 \"x\"" )") !=
                   std::string::npos);
    CPPUNIT_ASSERT(
        text.find("host=a\\x0a17:59:54.731  proxy-0\\x1b[2J\\x09b") !=
        std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineTest);

}  // namespace
}  // namespace lacewingferry
