#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "lacewingferry/adapters/json/announcement_json.h"
#include "lacewingferry/adapters/json/event_json.h"
#include "lacewingferry/adapters/json/statement_json.h"
#include "lacewingferry/adapters/json/stored_answer_json.h"
#include "lacewingferry/core/errors.h"
#include "standin/announcement.h"
#include "tests/support/fuzz.h"

namespace lacewingferry::testing {
namespace {

constexpr std::size_t kInputs = 6'000;

void RequireBoth(const FuzzCounts& counts) {
  CPPUNIT_ASSERT(counts.decoded > 0);
  CPPUNIT_ASSERT(counts.refused > 0);
}

class JsonFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonFuzzTest);
  CPPUNIT_TEST(DamagedRequestsGiveTypedErrors);
  CPPUNIT_TEST(DeeplyNestedRequestsGiveTypedErrors);
  CPPUNIT_TEST(DamagedAnnouncementsGiveTypedErrors);
  CPPUNIT_TEST(DamagedStoredAnswersGiveTypedErrors);
  CPPUNIT_TEST(DamagedEventsGiveTypedErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DamagedRequestsGiveTypedErrors() {
    const std::vector<std::string> samples = {
        R"j({"database":"d","kind":"write","sql":"INSERT INTO a VALUES (?)",)j"
        R"j("parameters":["a",1.5,true,null],"session":"s","customer":"c",)j"
        R"j("request_id":"r","repeatable":false,"timeout":"250ms",)j"
        R"j("token":"t"})j",
        R"j({"database":"d","kind":"read","sql":"SELECT 1","max_age":"2s"})j",
        R"j({"database":"d","kind":"commit","transaction":"t1"})j"};
    RequireBoth(Fuzz<UserError>(samples, kInputs, [](const std::string& text) {
      ParseCallerRequest(text, CallerLimits());
    }));
  }

  // A body of the largest size that callers may send, made of one bracket.
  void DeeplyNestedRequestsGiveTypedErrors() {
    const std::string deep(500'000, '[');
    const std::string closing(500'000, ']');
    for (const std::string name : {"parameters", "sql", "surprise"}) {
      std::string text = R"({"database":"d","kind":"read","sql":"s",")";
      text.append(name).append("\":").append(deep).append(closing).append("}");
      CPPUNIT_ASSERT_THROW(ParseCallerRequest(text, CallerLimits()), UserError);
    }
    CPPUNIT_ASSERT_THROW(
        ParseAnnouncement("{\"position\":" + deep + closing + "}"), UserError);
  }

  void DamagedAnnouncementsGiveTypedErrors() {
    standin::Announcement announcement;
    announcement.info.id = MemberId("permit-db-1-a");
    announcement.info.database = DatabaseId("permit-db-1");
    announcement.info.group = GroupId("permit-db");
    announcement.info.zone = AvailabilityZone("nh-a");
    announcement.info.endpoint = {"127.0.0.1", 5432};
    announcement.info.slots = 20;
    announcement.position = {3, 9};
    RequireBoth(Fuzz<UserError>(
        {standin::EncodeAnnouncement(announcement)}, kInputs,
        [](const std::string& text) { ParseAnnouncement(text); }));
  }

  void DamagedStoredAnswersGiveTypedErrors() {
    ResultSet answer;
    answer.columns = {"id", "name"};
    answer.rows = {{SqlValue("1"), SqlValue()}, {SqlValue("2"), SqlValue("b")}};
    answer.affected_rows = 2;
    RequireBoth(Fuzz<DecodeError>(
        {FormatStoredAnswer(answer)}, kInputs,
        [](const std::string& text) { ParseStoredAnswer(text); }));
  }

  void DamagedEventsGiveTypedErrors() {
    TimelineEntry entry;
    entry.number = 4001;
    entry.name = "peer_message_rejected";
    entry.node = NodeId("proxy-1");
    entry.program = "ferryproxyd";
    entry.fields = {{"reason", "empty peer message"}};
    RequireBoth(Fuzz<UserError>(
        {EventToJson(entry).dump()}, kInputs, [](const std::string& text) {
          EventFromJson(nlohmann::ordered_json::parse(text, nullptr, false));
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonFuzzTest);

}  // namespace
}  // namespace lacewingferry::testing
