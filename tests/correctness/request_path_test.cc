#include "lacewingferry/decisions/timeline/request_path.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "lacewingferry/core/time_text.h"

namespace lacewingferry::testing {
namespace {

using std::chrono::milliseconds;
using Fields = std::vector<std::pair<std::string, std::string>>;

const HybridTime kStart = ParseTime("2026-12-04T10:00:00.000000Z");

TimelineEntry Entry(milliseconds after, const std::string& node, EventCode code,
                    Fields fields) {
  TimelineEntry entry;
  entry.time = kStart + after;
  entry.node = NodeId(node);
  entry.number = static_cast<std::uint16_t>(code);
  entry.name = EventName(code);
  entry.fields = std::move(fields);
  return entry;
}

TimelineEntry Refused(milliseconds after, const std::string& node,
                      const std::string& request) {
  return Entry(after, node, EventCode::kRequestRefused,
               {{"request", request}, {"database", "db"}, {"took_ms", "400"}});
}

/** The names of the events that FindRequestPath returns, in order. */
std::string RelatedEvents(const std::vector<TimelineEntry>& merged,
                          const std::string& request) {
  std::string names;
  for (const auto& entry : FindRequestPath(merged, RequestId(request))) {
    names += entry.name + " ";
  }
  return names;
}

class RequestPathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPathTest);
  CPPUNIT_TEST(IncludesEventsOfTheAnsweringProcess);
  CPPUNIT_TEST(IncludesTermsOfItsDatabaseOnly);
  CPPUNIT_TEST(ExcludesEventsOutsideTheWindow);
  CPPUNIT_TEST(IsEmptyForAnUnknownRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IncludesEventsOfTheAnsweringProcess() {
    const std::vector<TimelineEntry> merged = {
        Entry(milliseconds(0), "edge-1", EventCode::kControlLost, {}),
        Entry(milliseconds(0), "edge-2", EventCode::kControlLost, {}),
        Entry(milliseconds(100), "core-1", EventCode::kControlLeaderChanged,
              {}),
        Refused(milliseconds(500), "edge-1", "r-1"),
        Refused(milliseconds(500), "edge-1", "r-2")};
    CPPUNIT_ASSERT_EQUAL(
        std::string("control_lost control_leader_changed request_refused "),
        RelatedEvents(merged, "r-1"));
  }

  void IncludesTermsOfItsDatabaseOnly() {
    const std::vector<TimelineEntry> merged = {
        Entry(milliseconds(0), "core-1", EventCode::kTermBegun,
              {{"database", "db"}}),
        Entry(milliseconds(10), "core-1", EventCode::kTermBegun,
              {{"database", "other"}}),
        Entry(milliseconds(300), "core-1", EventCode::kPrimaryChosen,
              {{"database", "db"}}),
        Refused(milliseconds(500), "edge-1", "r-1")};
    CPPUNIT_ASSERT_EQUAL(
        std::string("term_begun primary_chosen request_refused "),
        RelatedEvents(merged, "r-1"));
  }

  /** The window starts 10 s before the request arrived, not before its answer.
   */
  void ExcludesEventsOutsideTheWindow() {
    const std::vector<TimelineEntry> merged = {
        Entry(milliseconds(0), "edge-1", EventCode::kControlLost, {}),
        Entry(milliseconds(100), "edge-1", EventCode::kControlReached, {}),
        Refused(milliseconds(10450), "edge-1", "r-1"),
        Entry(milliseconds(11450), "edge-1", EventCode::kControlLost, {}),
        Entry(milliseconds(11451), "edge-1", EventCode::kControlReached, {})};
    CPPUNIT_ASSERT_EQUAL(
        std::string("control_reached request_refused control_lost "),
        RelatedEvents(merged, "r-1"));
  }

  void IsEmptyForAnUnknownRequest() {
    const std::vector<TimelineEntry> merged = {
        Refused(milliseconds(500), "edge-1", "r-1")};
    CPPUNIT_ASSERT_EQUAL(std::string(), RelatedEvents(merged, "r-2"));
    CPPUNIT_ASSERT_EQUAL(std::string(), RelatedEvents({}, ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPathTest);

}  // namespace
}  // namespace lacewingferry::testing
