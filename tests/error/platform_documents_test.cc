#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <random>

#include "lacewingferry/core/finding.h"
#include "platform/configuration_json.h"
#include "platform/member_report_json.h"

namespace lacewingferry::platform {
namespace {

using nlohmann::json;

json Configuration() {
  return json::parse(R"({"version":7,
    "routes":[
      {"name":"r1","host":"fiti","prefix":"/","kind":"session",
       "timeout_ms":800,"slo_ms":500,"priority":2,"service":"huvo",
       "attempts":2,"max_staleness_ms":2500},
      {"name":"r2","host":"lepu","prefix":"/","kind":"primary",
       "timeout_ms":800,"slo_ms":300,"priority":1,"service":"huvo"}],
    "services":[{"name":"huvo","max_conns":64,"sync_replicas":1,"tls":false}],
    "limits":{"tx_idle_ms":3000}})");
}

json Report() {
  return json::parse(R"({"service":"huvo","addr":"10.128.0.9:8080",
    "zone":"nh-a","version":"v1","slots":5,"state":"ready",
    "warmup_left_ms":0,"db_role":"replica","sequence":4,"born":1700000000000})");
}

std::size_t FindingsIn(const json& document) {
  try {
    DecodeConfiguration(document.dump());
  } catch (const FindingsError& error) {
    return error.Findings().size();
  }
  return 0;
}

bool Reported(const json& document) {
  try {
    DecodeMemberReport(MemberId("i-7f"), document.dump());
  } catch (const FindingsError&) {
    return true;
  }
  return false;
}

/** Whether an announcement is refused with a value, in JSON, for one field. */
bool ReportedWith(const std::string& field, const std::string& value) {
  std::string document = Report().dump();
  document.insert(document.size() - 1, ",\"" + field + "\":" + value);
  try {
    DecodeMemberReport(MemberId("i-7f"), document);
  } catch (const FindingsError&) {
    return true;
  }
  return false;
}

class PlatformDocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformDocumentsTest);
  CPPUNIT_TEST(ReadsAWholeConfiguration);
  CPPUNIT_TEST(InvalidConfigurationsAreRefusedWhole);
  CPPUNIT_TEST(AllMistakesAreFoundAtOnce);
  CPPUNIT_TEST(CutConfigurationsAreRefused);
  CPPUNIT_TEST(ReadsAnAnnouncement);
  CPPUNIT_TEST(StrangeAnnouncementsNameNobody);
  CPPUNIT_TEST(NumbersBeyondTheirRangeNameNobody);
  CPPUNIT_TEST(NamesThatBreakOtherMessagesNameNobody);
  CPPUNIT_TEST(NestedAnnouncementsAreRead);
  CPPUNIT_TEST(FarewellsSayTheirRunIfAny);
  CPPUNIT_TEST(LongTimesOfAConfigurationStayInRange);
  CPPUNIT_TEST(ReadsCustomers);
  CPPUNIT_TEST(InvalidCustomersAreRefused);
  CPPUNIT_TEST(DamagedDocumentsOnlyThrowFindings);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAWholeConfiguration() {
    const auto read = DecodeConfiguration(Configuration().dump());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read.version);
    const Route* route = read.FindRoute("fiti");
    CPPUNIT_ASSERT(route->consistency == ReadConsistency::kSession);
    CPPUNIT_ASSERT(route->statement_timeout == std::chrono::milliseconds(800));
    CPPUNIT_ASSERT(route->max_staleness == std::chrono::milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{64}, read.services[0].max_connections);
    CPPUNIT_ASSERT(read.transaction_idle == std::chrono::milliseconds(3000));
  }

  void InvalidConfigurationsAreRefusedWhole() {
    json unknown_service = Configuration();
    unknown_service["routes"][0]["service"] = "nobody";
    CPPUNIT_ASSERT(FindingsIn(unknown_service) > 0);
    json same_place = Configuration();
    same_place["routes"][1]["host"] = "fiti";
    CPPUNIT_ASSERT(FindingsIn(same_place) > 0);
    json no_timeout = Configuration();
    no_timeout["routes"][0]["timeout_ms"] = 0;
    CPPUNIT_ASSERT(FindingsIn(no_timeout) > 0);
    json no_kind = Configuration();
    no_kind["routes"][0]["kind"] = "other";
    CPPUNIT_ASSERT(FindingsIn(no_kind) > 0);
    json no_version = Configuration();
    no_version.erase("version");
    CPPUNIT_ASSERT(FindingsIn(no_version) > 0);
    json negative = Configuration();
    negative["version"] = -3;
    CPPUNIT_ASSERT(FindingsIn(negative) > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, FindingsIn(Configuration()));
  }

  void ReadsCustomers() {
    json document = Configuration();
    document["routes"][1]["public"] = true;
    document["tenants"] = json::parse(R"([
      {"name":"miny","api_keys":["a1","a2"],"priority":1,"rate_per_s":2.5,
       "burst":7},
      {"name":"lomu","api_keys":[]},
      {"name":"kaju","api_keys":["b1"],"rate_per_s":4}])");
    const auto read = DecodeConfiguration(document.dump());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read.customers.size());
    const Customer& first = read.customers[0];
    CPPUNIT_ASSERT(first.id == CustomerId("miny"));
    CPPUNIT_ASSERT_EQUAL(std::string("a2"), first.keys.at(1));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, first.priority);
    CPPUNIT_ASSERT((first.limit == RateLimit{2.5, 7}));
    CPPUNIT_ASSERT(!read.customers[1].limit);
    CPPUNIT_ASSERT((read.customers[2].limit == RateLimit{4, 4}));
    CPPUNIT_ASSERT(read.NeedsKey(*read.FindRoute("fiti")));
    CPPUNIT_ASSERT(!read.NeedsKey(*read.FindRoute("lepu")));
    CPPUNIT_ASSERT(
        DecodeConfiguration(Configuration().dump()).customers.empty());
  }

  void InvalidCustomersAreRefused() {
    for (const char* customers :
         {R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])",
          R"([{"name":"a b","api_keys":["k"]}])", R"([{"api_keys":["k"]}])",
          R"([{"name":"a"}])", R"([{"name":"a","api_keys":[""]}])",
          R"([{"name":"a","api_keys":[7]}])",
          R"([{"name":"a","api_keys":["k"],"rate_per_s":-1}])",
          R"([{"name":"a","api_keys":["k"],"rate_per_s":"much"}])", R"({})",
          R"([7])"}) {
      json document = Configuration();
      document["tenants"] = json::parse(customers);
      CPPUNIT_ASSERT_MESSAGE(customers, FindingsIn(document) > 0);
    }
    json document = Configuration();
    document["routes"][0]["public"] = "yes";
    CPPUNIT_ASSERT(FindingsIn(document) > 0);
  }

  void AllMistakesAreFoundAtOnce() {
    json wrong = Configuration();
    wrong["routes"][0]["timeout_ms"] = 0;
    wrong["routes"][0].erase("host");
    wrong["services"][0]["max_conns"] = "many";
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, FindingsIn(wrong));
  }

  void CutConfigurationsAreRefused() {
    const std::string whole = Configuration().dump();
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT_THROW(DecodeConfiguration(whole.substr(0, size)),
                           FindingsError);
    }
  }

  void ReadsAnAnnouncement() {
    const auto read = DecodeMemberReport(MemberId("i-7f"), Report().dump());
    CPPUNIT_ASSERT(read.info.id == MemberId("i-7f"));
    CPPUNIT_ASSERT(read.info.database == DatabaseId("huvo"));
    CPPUNIT_ASSERT(read.info.endpoint == (Endpoint{"10.128.0.9", 8080}));
    CPPUNIT_ASSERT(!read.info.leaving && !read.primary);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1700000000000}, read.incarnation);
    json leaving = Report();
    leaving["state"] = "draining";
    CPPUNIT_ASSERT(
        DecodeMemberReport(MemberId("i-7f"), leaving.dump()).info.leaving);
  }

  void StrangeAnnouncementsNameNobody() {
    for (const char* field :
         {"service", "addr", "zone", "slots", "state", "db_role", "sequence"}) {
      json missing = Report();
      missing.erase(field);
      CPPUNIT_ASSERT_MESSAGE(field, Reported(missing));
      json other = Report();
      other[field] = json::array({1});
      CPPUNIT_ASSERT_MESSAGE(field, Reported(other));
    }
    json state = Report();
    state["state"] = "asleep";
    CPPUNIT_ASSERT(Reported(state));
    json born = Report();
    born["born"] = 1.5;
    CPPUNIT_ASSERT(Reported(born));
    json port = Report();
    port["addr"] = "10.0.0.1:99999";
    CPPUNIT_ASSERT(Reported(port));
    CPPUNIT_ASSERT(!Reported(Report()));
  }

  // Another writer's entry with the largest sequence or start made each later
  // announcement of the true member look outdated.
  void NumbersBeyondTheirRangeNameNobody() {
    const std::vector<std::pair<const char*, const char*>> wrong = {
        {"slots", "-1"},
        {"slots", "4294967296"},
        {"slots", "18446744073709551616"},
        {"slots", "1e400"},
        {"sequence", "18446744073709551615"},
        {"sequence", "-4"},
        {"sequence", "2.5"},
        {"born", "18446744073709551615"},
        {"born", "1700000000000000"},
        {"born", "-1"},
        {"addr", R"("10.0.0.1:0")"},
        {"addr", R"("10.0.0.1:65536")"},
        {"addr", R"("10.0.0.1:-1")"},
        {"addr", R"("10.0.0.1:99999999999999999999")"},
        {"addr", R"("member-7:8080")"},
        {"addr", R"(":8080")"}};
    for (const auto& [field, value] : wrong) {
      CPPUNIT_ASSERT_MESSAGE(std::string(field) + " " + value,
                             ReportedWith(field, value));
    }
    CPPUNIT_ASSERT(!ReportedWith("slots", "1"));
    CPPUNIT_ASSERT(!ReportedWith("addr", R"("10.0.0.1:65535")"));
  }

  // No JSON document can hold an ID that isn't UTF-8; a line end in a service
  // would begin a message of its own to a member.
  void NamesThatBreakOtherMessagesNameNobody() {
    for (const char* id : {"", "a b", "a\r\nb", "\xff\xfe", "\x7f"}) {
      CPPUNIT_ASSERT_THROW(DecodeMemberReport(MemberId(id), Report().dump()),
                           FindingsError);
    }
    for (const char* field : {"service", "zone"}) {
      for (const char* value :
           {R"("a b")", R"("a\r\nQUERY - PAUSE 9")", R"("a\u0000")"}) {
        CPPUNIT_ASSERT_MESSAGE(value, ReportedWith(field, value));
      }
      CPPUNIT_ASSERT(
          ReportedWith(field, '"' + std::string(100'000, 'x') + '"'));
    }
  }

  // A farewell that can't be read ends nobody's run; one without a run, as the
  // platform's page shows it, ends the known one.
  void FarewellsSayTheirRunIfAny() {
    const MemberId id("i-7f");
    CPPUNIT_ASSERT(!DecodeFarewell(id, "").incarnation);
    CPPUNIT_ASSERT(!DecodeFarewell(id, "{}").incarnation);
    CPPUNIT_ASSERT(
        DecodeFarewell(id, R"({"born":1700000000000})").incarnation ==
        1700000000000);
    for (const char* odd :
         {"{", "[]", "1", R"({"born":"1"})", R"({"born":-1})",
          R"({"born":1.5})", R"({"born":18446744073709551616})", "\x80"}) {
      CPPUNIT_ASSERT_THROW(DecodeFarewell(id, odd), FindingsError);
    }
  }

  void NestedAnnouncementsAreRead() {
    constexpr std::size_t kDepth = 100'000;
    const std::string nested =
        std::string(kDepth, '[') + std::string(kDepth, ']');
    CPPUNIT_ASSERT(!ReportedWith("note", nested));
    CPPUNIT_ASSERT(ReportedWith("service", nested));
  }

  void LongTimesOfAConfigurationStayInRange() {
    json longest = Configuration();
    longest["routes"][0]["timeout_ms"] = 18446744073709551615U;
    longest["routes"][0]["slo_ms"] = 18446744073709551615U;
    longest["routes"][0]["max_staleness_ms"] = 18446744073709551615U;
    longest["services"][0]["max_conns"] = 4294967297U;
    longest["limits"]["tx_idle_ms"] = 18446744073709551615U;
    const auto read = DecodeConfiguration(longest.dump());
    // A deadline is a time of today and such a duration.
    constexpr std::chrono::hours kLongest{24 * 365};
    const Route& route = read.routes[0];
    for (const std::chrono::milliseconds time :
         {route.statement_timeout, route.latency_objective, route.max_staleness,
          read.transaction_idle}) {
      CPPUNIT_ASSERT(time > std::chrono::hours(1) && time <= kLongest);
    }
    CPPUNIT_ASSERT(read.services[0].max_connections > 1);
  }

  void DamagedDocumentsOnlyThrowFindings() {
    const std::string nested(200'000, '[');
    CPPUNIT_ASSERT_THROW(DecodeConfiguration(nested), FindingsError);
    const std::string whole = Configuration().dump();
    std::mt19937_64 random(7);
    for (int i = 0; i < 2000; ++i) {
      std::string damaged = whole;
      for (int j = 0; j < 4; ++j) {
        damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
      }
      try {
        DecodeConfiguration(damaged);
        DecodeMemberReport(MemberId("i"), damaged);
      } catch (const FindingsError&) {
        continue;
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDocumentsTest);

}  // namespace
}  // namespace lacewingferry::platform
