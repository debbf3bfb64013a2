#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <filesystem>
#include <future>

#include "bench/processes/child_process.h"
#include "bench/processes/file_text.h"
#include "bench/processes/poll_until.h"
#include "lacewingferry/decisions/gateway/statement_record.h"
#include "standin/platform/line_client.h"
#include "standin/platform/platform_fleet.h"
#include "tests/support/program_folder.h"

namespace lacewingferry::testing {
namespace {

using standin::kFleetDeadline;
using standin::LineClient;
using standin::PlatformFleet;
using std::chrono::milliseconds;

/** By then a lease has ended that nobody renews. */
constexpr milliseconds kLeaseIsOver{6000};
/** A statement has reached the member by then, and control hasn't yet found
 * the member silent. */
constexpr milliseconds kUnderWay{200};
/** A line is in the log, and the events after it, by then. */
constexpr milliseconds kLogged{10000};

/** What ferryctl says of a request from the logs of all processes. */
std::string Explain(const PlatformFleet& fleet, const std::string& id) {
  std::vector<std::string> command = {ProgramFolder() + "/ferryctl", "explain",
                                      id};
  for (const std::string& log : fleet.Logs()) {
    command.emplace_back("--log");
    command.push_back(log);
  }
  const std::string output = fleet.Folder() + "/" + id + ".explained";
  std::filesystem::remove(output);
  processes::ChildProcess ferryctl(command, output);
  ferryctl.WaitForEnd(kFleetDeadline);
  return processes::FileText(output);
}

/** Waits until the path of a request names events, one after the other. */
void AwaitPath(const PlatformFleet& fleet, const std::string& id,
               const std::vector<std::string>& events) {
  std::string path;
  const bool found = processes::PollUntil(kLogged, [&] {
    path = Explain(fleet, id);
    std::size_t from = 0;
    for (const std::string& event : events) {
      from = path.find(" " + event + " ", from);
      if (from == std::string::npos) return false;
    }
    return true;
  });
  CPPUNIT_ASSERT_MESSAGE(path, found);
}

std::string SampledId(const std::string& start) {
  for (int number = 0;; ++number) {
    std::string id = start + std::to_string(number);
    if (IsSampled(RequestId(id))) return id;
  }
}

/** The walks of docs/OPERATIONS.md, from a request's id to its cause. */
class ProcessesExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesExplainTest);
  CPPUNIT_TEST(RefusedThoughMembersWereFree);
  CPPUNIT_TEST(UnknownAfterACommit);
  CPPUNIT_TEST(LateDuringAFailover);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->fleet = std::make_unique<PlatformFleet>(ProgramFolder());
    this->fleet->PutConfiguration(3);
    this->fleet->AwaitReady();
    const bool served = processes::PollUntil(kFleetDeadline, [&] {
      return this->Session()->Ask("STORE first one").rfind("DONE", 0) == 0;
    });
    CPPUNIT_ASSERT(served);
  }

  void tearDown() override { this->fleet.reset(); }

  void RefusedThoughMembersWereFree() {
    const auto session = this->Session();
    for (std::size_t i = 0; i < PlatformFleet::kControls; ++i) {
      this->fleet->Control(i).Signal(SIGSTOP);
    }
    std::string id;
    int tries = 0;
    const bool refused = processes::PollUntil(kLeaseIsOver, [&] {
      id = "refused-" + std::to_string(++tries);
      return session->AskAs(id, "STORE second two").rfind("ERROR", 0) == 0;
    });
    CPPUNIT_ASSERT(refused);
    AwaitPath(*this->fleet, id, {"request_refused", "control_lost"});
  }

  void UnknownAfterACommit() {
    const std::size_t primary = this->fleet->Standin().Primary();
    const auto session = this->Session();
    this->fleet->Standin().SilenceMember(primary);
    auto answer = std::async(std::launch::async, [&] {
      return session->AskAs("unknown-1", "STORE second two");
    });
    CPPUNIT_ASSERT(answer.wait_for(kUnderWay) == std::future_status::timeout);
    this->fleet->Standin().StopMember(primary);
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR UNKNOWN"),
                         answer.get().substr(0, 13));
    AwaitPath(*this->fleet, "unknown-1", {"request_unknown", "term_begun"});
  }

  void LateDuringAFailover() {
    const std::string id = SampledId("late-");
    const auto session = this->Session();
    this->fleet->Standin().StopMember(this->fleet->Standin().Primary());
    const std::string answer = session->AskAs(id, "STORE second two");
    CPPUNIT_ASSERT_MESSAGE(answer, answer.rfind("DONE", 0) == 0);
    AwaitPath(*this->fleet, id,
              {"term_begun", "primary_chosen", "primary_confirmed",
               "request_served"});
  }

 private:
  std::unique_ptr<LineClient> Session() {
    return std::make_unique<LineClient>(this->fleet->ClientAddress(0),
                                        "primary");
  }

  std::unique_ptr<PlatformFleet> fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesExplainTest);

}  // namespace
}  // namespace lacewingferry::testing
