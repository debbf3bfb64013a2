#include "platform/control_api.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <utility>

namespace lacewingferry::platform {
namespace {

const Endpoint kListen{"10.0.0.3", 8080};
constexpr char kBody[] =
    R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"z0",)"
    R"("version":"v1","slots":2,"state":"ready","warmup_left_ms":0,)"
    R"("db_role":"replica","sequence":4,"born":1700000000000})";

/** The calls of a process that another one leads. */
FleetApiPort Follower(bool knows) {
  FleetApiPort api;
  api.leader = [] { return FleetLeader{false, NodeId("10.0.0.2")}; };
  api.known = [knows](const MemberAnnouncement&) { return knows; };
  api.refused = [](const std::string&, const std::string&) {};
  return api;
}

constexpr char kBeatPath[] = "/instances/i-7f3a/heartbeat";

HttpResponse BeatAt(FleetApiPort api, const std::string& path = kBeatPath) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.body = kBody;
  std::optional<HttpResponse> response;
  MakeControlApi(std::move(api), kListen)(
      request, [&](HttpResponse answer) { response = std::move(answer); });
  return *response;
}

HttpResponse Beat(bool knows, const std::string& path = kBeatPath) {
  return BeatAt(Follower(knows), path);
}

// Each announcement of each member went to the leader of control, over a
// connection of its own and mostly by a redirect: 350 a second at 420 members.
class ControlApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlApiTest);
  CPPUNIT_TEST(AnyProcessAcknowledgesWhatIsKnown);
  CPPUNIT_TEST(NewsGoesToTheLeader);
  CPPUNIT_TEST(PathOfNoMemberNamesNone);
  CPPUNIT_TEST(EachVerdictHasItsStatus);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnyProcessAcknowledgesWhatIsKnown() {
    const HttpResponse response = Beat(true);
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    // The member stays with the process that knows it.
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"heartbeat_addr":"10.0.0.3:8080"})"),
                         response.body);
  }

  void NewsGoesToTheLeader() {
    const HttpResponse response = Beat(false);
    CPPUNIT_ASSERT_EQUAL(307, response.status);
    CPPUNIT_ASSERT_EQUAL(
        std::string("http://10.0.0.2:8080/instances/i-7f3a/heartbeat"),
        response.location);
  }

  // The call's name was taken for a member's where the path named none, and a
  // name with a slash for one member's.
  void PathOfNoMemberNamesNone() {
    for (const char* path :
         {"/instances/heartbeat", "/instances//heartbeat",
          "/instances/a/b/heartbeat", "/instances/deregister",
          "/instances//deregister", "/instances/a/b/deregister"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 404, Beat(true, path).status);
    }
  }

  // A member moves on to another process after 503 and repeats its call.
  void EachVerdictHasItsStatus() {
    const std::pair<FleetApiResult, int> statuses[] = {
        {FleetApiResult::kDone, 200},
        {FleetApiResult::kOutdated, 400},
        {FleetApiResult::kRefused, 400},
        {FleetApiResult::kUnknown, 503}};
    for (const auto& [verdict, status] : statuses) {
      FleetApiPort api = Follower(false);
      api.leader = [] { return FleetLeader{true, {}}; };
      api.announce = [result = verdict](const MemberAnnouncement&,
                                        const auto& done) { done(result); };
      CPPUNIT_ASSERT_EQUAL(status, BeatAt(std::move(api)).status);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlApiTest);

}  // namespace
}  // namespace lacewingferry::platform
