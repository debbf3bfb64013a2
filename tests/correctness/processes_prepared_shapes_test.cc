#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/processes/poll_until.h"
#include "standin/platform/line_client.h"
#include "standin/platform/platform_fleet.h"
#include "tests/support/program_folder.h"

namespace lacewingferry::testing {
namespace {

using standin::kFleetDeadline;
using standin::LineClient;
using standin::PlatformExecution;
using standin::PlatformFleet;

constexpr std::size_t kSessions = 8;
constexpr std::size_t kExecutions = 200;

const std::vector<std::string> kShapes = {"qa",
                                          "fq",
                                          "qa LOOKUP fq",
                                          "q25 STORE nick",
                                          "qa fq ",
                                          " qa",
                                          "q25",
                                          "LOOKUP",
                                          "STORE x",
                                          "qa\tfq",
                                          "fq LOOKUP qa LOOKUP fq"};

/** What a client had prepared when it sent an execution. */
struct Sent {
  std::string verb;
  std::string shape;
  std::string arguments;
};

// Guards against an execution that runs as another statement than its client
// prepared: with the real proxy, whose sessions share connections to members.
class ProcessesPreparedShapesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesPreparedShapesTest);
  CPPUNIT_TEST(ExecutionsRunAsPrepared);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ExecutionsRunAsPrepared() {
    PlatformFleet fleet(ProgramFolder());
    fleet.PutConfiguration(3);
    fleet.AwaitReady();
    AwaitService(fleet);
    std::vector<std::unique_ptr<LineClient>> sessions;
    for (std::size_t i = 0; i < kSessions; ++i) {
      sessions.push_back(
          std::make_unique<LineClient>(fleet.ClientAddress(0), "primary"));
    }
    std::map<std::string, Sent> sent;
    std::size_t refused = 0;
    for (std::size_t i = 0; i < kExecutions; ++i) {
      LineClient& session = *sessions[i % kSessions];
      const std::string id = "run" + std::to_string(i);
      const Sent statement{i % 5 == 0 ? "STORE" : "LOOKUP",
                           kShapes[i * 7 % kShapes.size()], "#c some data"};
      session.Ask("PREPARE s1 " + statement.verb + " " + statement.shape);
      const std::string answer =
          session.AskAs(id, "EXECUTE s1 " + statement.arguments);
      if (answer.find("DONE") == std::string::npos) ++refused;
      sent[id] = statement;
    }
    std::size_t different = 0;
    for (const PlatformExecution& ran : fleet.Standin().Executions()) {
      const Sent& said = sent.at(ran.request);
      const bool same = said.verb == ran.prepared.verb &&
                        said.shape == ran.prepared.shape &&
                        said.arguments == ran.arguments;
      if (!same) ++different;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, different);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, refused);
    CPPUNIT_ASSERT(fleet.Standin().Executions().size() >= kExecutions);
  }

 private:
  static void AwaitService(PlatformFleet& fleet) {
    const bool served = processes::PollUntil(kFleetDeadline, [&fleet] {
      try {
        LineClient client(fleet.ClientAddress(0), "primary");
        return client.Ask("STORE first one").find("DONE") != std::string::npos;
      } catch (const std::exception&) {
        return false;
      }
    });
    CPPUNIT_ASSERT(served);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesPreparedShapesTest);

}  // namespace
}  // namespace lacewingferry::testing
