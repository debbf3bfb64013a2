#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include "bench/processes/http_client.h"
#include "bench/processes/poll_until.h"
#include "standin/platform/line_client.h"
#include "standin/platform/platform_fleet.h"
#include "tests/support/program_folder.h"

namespace lacewingferry::testing {
namespace {

using standin::kFleetDeadline;
using standin::LineClient;
using standin::PlatformFleet;
using std::chrono::milliseconds;

bool Succeeded(const std::string& answer) {
  return answer.find("DONE") != std::string::npos;
}

void AssertSucceeded(const std::string& answer) {
  CPPUNIT_ASSERT_MESSAGE(answer, Succeeded(answer));
}

/** Repeats an operation as a client would, until it succeeds. */
std::string AskUntilDone(PlatformFleet& fleet, std::size_t proxy,
                         const std::string& host, const std::string& text) {
  std::string answer;
  processes::PollUntil(kFleetDeadline, [&] {
    try {
      LineClient client(fleet.ClientAddress(proxy), host);
      answer = client.Ask(text);
    } catch (const std::exception& error) {
      answer = error.what();
    }
    return Succeeded(answer);
  });
  return answer;
}

class ProcessesPlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesPlatformTest);
  CPPUNIT_TEST(ServesSessionsThroughAFailoverAndRestarts);
  CPPUNIT_TEST(RefusesBadInputAndLivesOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ServesSessionsThroughAFailoverAndRestarts() {
    PlatformFleet fleet(ProgramFolder());
    fleet.PutConfiguration(3);
    fleet.AwaitReady();
    this->ServeACalmDay(fleet);
    this->ReplaceThePrimary(fleet);
    this->RestartAllOfControl(fleet);
    this->StopAProxy(fleet);
  }

  void RefusesBadInputAndLivesOn() {
    PlatformFleet fleet(ProgramFolder());
    fleet.PutConfiguration(3);
    fleet.AwaitReady();
    const Endpoint proxy = fleet.ClientAddress(0);
    CPPUNIT_ASSERT(LineClient(proxy, "")
                       .SendRaw("QUERY 1 LOOKUP a\r\n")
                       .rfind("ERROR MALFORMED", 0) == 0);
    CPPUNIT_ASSERT(LineClient(proxy, "")
                       .SendRaw("STARTUP nowhere x\r\n")
                       .rfind("ERROR NODB", 0) == 0);
    CPPUNIT_ASSERT(LineClient(proxy, "")
                       .SendRaw("\x01\x02 what\r\n")
                       .rfind("ERROR MALFORMED", 0) == 0);
    CPPUNIT_ASSERT(LineClient(proxy, "")
                       .SendRaw(std::string((1U << 20U) + 10, 'x'))
                       .rfind("ERROR TOOLARGE", 0) == 0);
    LineClient client(proxy, "primary");
    for (const char* text : {"DROP x", "COMMIT", "ROLLBACK", "RESET",
                             "AFTER 1.1 LOOKUP a", "EXECUTE s9 1"}) {
      const std::string answer = client.Ask(text);
      CPPUNIT_ASSERT_MESSAGE(text, answer.rfind("ERROR", 0) == 0);
    }
    AssertSucceeded(client.Ask("LOOKUP a"));
    for (const char* document :
         {"", "{", "[]", "{\"version\":9}", "\xff\xfe",
          "{\"version\":9,\"routes\":[{\"name\":\"r\"}],\"services\":[]}"}) {
      CPPUNIT_ASSERT_EQUAL(400, fleet.TryConfiguration(document));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fleet.FetchVersion());
    for (std::size_t i = 0; i < PlatformFleet::kControls; ++i) {
      fleet.Control(i).Signal(SIGHUP);
      CPPUNIT_ASSERT(fleet.Control(i).Running());
    }
    fleet.Proxy(0).Signal(SIGHUP);
    AssertSucceeded(client.Ask("LOOKUP a"));
  }

 private:
  static void ServeACalmDay(PlatformFleet& fleet) {
    CPPUNIT_ASSERT(
        Succeeded(AskUntilDone(fleet, 0, "primary", "STORE item one")));
    LineClient session(fleet.ClientAddress(0), "session");
    AssertSucceeded(session.Ask("SET language nl"));
    AssertSucceeded(session.Ask("PREPARE s1 STORE q2c"));
    AssertSucceeded(session.Ask("EXECUTE s1 own two"));
    CPPUNIT_ASSERT_EQUAL(std::string("ROW two"),
                         session.Ask("LOOKUP own").substr(0, 7));
    const std::string begun = session.Ask("BEGIN");
    CPPUNIT_ASSERT_MESSAGE(begun, begun.find("READY T") != std::string::npos);
    AssertSucceeded(session.Ask("STORE own three"));
    AssertSucceeded(session.Ask("COMMIT"));
    CPPUNIT_ASSERT_EQUAL(std::string("ROW three"),
                         session.Ask("LOOKUP own").substr(0, 9));
    LineClient bounded(fleet.ClientAddress(1), "bounded");
    AssertSucceeded(bounded.Ask("LOOKUP item"));
    processes::HttpClient metrics(fleet.MetricsAddress(0));
    const auto page = metrics.Get("/metrics", milliseconds(2000));
    CPPUNIT_ASSERT(page.body.find("ferry_sessions") != std::string::npos);
    CPPUNIT_ASSERT(page.body.find("ferry_requests_total") != std::string::npos);
  }

  static void ReplaceThePrimary(PlatformFleet& fleet) {
    const std::size_t first = fleet.Standin().Primary();
    fleet.Standin().StopMember(first);
    const std::string answer =
        AskUntilDone(fleet, 0, "primary", "STORE after four");
    CPPUNIT_ASSERT_MESSAGE(answer, Succeeded(answer));
    CPPUNIT_ASSERT(fleet.Standin().Primary() != first);
    CPPUNIT_ASSERT_EQUAL(std::string("three"),
                         fleet.Standin().Stored("own").value_or("nothing"));
    fleet.Standin().StartMember(first);
  }

  static void RestartAllOfControl(PlatformFleet& fleet) {
    fleet.PutConfiguration(8);
    for (std::size_t i = 0; i < PlatformFleet::kControls; ++i) {
      fleet.Control(i).Kill();
    }
    for (std::size_t i = 0; i < PlatformFleet::kControls; ++i) {
      fleet.RestartControl(i);
    }
    const bool back = processes::PollUntil(
        kFleetDeadline, [&] { return fleet.FetchVersion() == 8; });
    CPPUNIT_ASSERT(back);
    CPPUNIT_ASSERT(
        Succeeded(AskUntilDone(fleet, 1, "primary", "STORE again five")));
  }

  static void StopAProxy(PlatformFleet& fleet) {
    LineClient resting(fleet.ClientAddress(0), "primary");
    fleet.Proxy(0).Signal(SIGTERM);
    const bool refused = processes::PollUntil(milliseconds(1000),
                                              [&] { return !fleet.Ready(0); });
    CPPUNIT_ASSERT(refused);
    AssertSucceeded(resting.Ask("LOOKUP item"));
    const auto status = fleet.Proxy(0).WaitForEnd(kFleetDeadline);
    CPPUNIT_ASSERT(status.has_value());
    CPPUNIT_ASSERT_EQUAL(0, *status);
    CPPUNIT_ASSERT_EQUAL(std::string(), resting.ReadLine());
    CPPUNIT_ASSERT(fleet.LogOfProxy(0).find("process_stopped") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesPlatformTest);

}  // namespace
}  // namespace lacewingferry::testing
