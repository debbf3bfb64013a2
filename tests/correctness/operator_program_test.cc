#include "lacewingferry/app/operator_program.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <sstream>

#include "lacewingferry/adapters/http/operator_client.h"
#include "lacewingferry/adapters/http/operator_signature.h"
#include "lacewingferry/adapters/yaml/release_note_writer.h"
#include "lacewingferry/decisions/configuration/note_in_force.h"
#include "tests/support/fake_control.h"
#include "tests/support/note_samples.h"

namespace lacewingferry {
namespace {

const char* const kAddress = "127.0.0.1:8101";

/** Runs ferryctl against a fake control process, without sockets and in virtual
 * time. */
class OperatorProgramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorProgramTest);
  CPPUNIT_TEST(AppliesShowsAndListsNotes);
  CPPUNIT_TEST(ShowsANoteThatASecondSystemAccepts);
  CPPUNIT_TEST(WaitsUntilANoteIsInForce);
  CPPUNIT_TEST(StopsWaitingAtTheTimeLimit);
  CPPUNIT_TEST(ReportsFindingsAtTheirPlaces);
  CPPUNIT_TEST(NamesTheWinnerOfARace);
  CPPUNIT_TEST(ShowsADiff);
  CPPUNIT_TEST(ReportsALostAnswerAsUnreachable);
  CPPUNIT_TEST(ChecksANoteWithoutControl);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->control = FakeControl();
    this->api = this->control.MakeApi(kAddress);
    this->files.clear();
    this->pauses = 0;
    this->files["first.yaml"] = WriteReleaseNote(FirstNote());
  }

  void AppliesShowsAndListsNotes() {
    CPPUNIT_ASSERT_EQUAL(std::string("0 accepted as revision 1\n"),
                         this->Run({"apply", "first.yaml"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("0 accepted as revision 1 (the first answer again)\n"),
        this->Run({"apply", "first.yaml"}));
    CPPUNIT_ASSERT_EQUAL(std::string("0 1  2027-01-15T08:00:00.000000Z  first  "
                                     "by marit, sent by marit  +4 ~0 "
                                     "-0\n"),
                         this->Run({"history"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("1 revision 1 is in force on 0 of 2\n"
                    "  not on proxy-1, which runs revision 0\n"
                    "  not on proxy-2, which runs revision 0\n"),
        this->Run({"status"}));
  }

  void ShowsANoteThatASecondSystemAccepts() {
    this->Run({"apply", "first.yaml"});
    const std::string shown = this->Run({"show"});
    CPPUNIT_ASSERT_EQUAL(std::string("0 "), shown.substr(0, 2));
    const ConfigurationInForce first = this->control.state.Current().in_force;
    this->control = FakeControl();
    this->api = this->control.MakeApi(kAddress);
    this->files["shown.yaml"] = shown.substr(2);
    CPPUNIT_ASSERT_EQUAL(std::string("0 accepted as revision 1\n"),
                         this->Run({"apply", "shown.yaml"}));
    CPPUNIT_ASSERT(this->control.state.Current().in_force == first);
  }

  void WaitsUntilANoteIsInForce() {
    this->on_pause = [this] {
      if (this->pauses == 3) {
        this->control.tracker.Report(NodeId("proxy-1"), 1, 1);
        this->control.tracker.Report(NodeId("proxy-2"), 1, 1);
      }
    };
    CPPUNIT_ASSERT_EQUAL(std::string("0 accepted as revision 1\n"
                                     "revision 1 is in force on 2 of 2\n"),
                         this->Run({"apply", "first.yaml", "--wait", "8s"}));
    CPPUNIT_ASSERT_EQUAL(3, this->pauses);
  }

  void StopsWaitingAtTheTimeLimit() {
    const std::string result =
        this->Run({"apply", "first.yaml", "--wait", "1s"});
    CPPUNIT_ASSERT_EQUAL(std::string("1 accepted as revision 1\nrevision 1 is "
                                     "in force on 0 of 2\n"),
                         result.substr(0, result.find("  not on")));
    CPPUNIT_ASSERT_EQUAL(4, this->pauses);
  }

  void ReportsFindingsAtTheirPlaces() {
    this->Run({"apply", "first.yaml"});
    this->files["n.yaml"] =
        "note: n\nbase_revision: 1\nauthor: marit\nwithdrawn:\n"
        "  proxies: [proxy-1, proxy-7]\n";
    const std::string expected =
        "1 n.yaml:5:22: withdrawn proxy 'proxy-7' is not in force\n"
        "refused; nothing changed\n";
    CPPUNIT_ASSERT_EQUAL(expected, this->Run({"check", "n.yaml"}));
    CPPUNIT_ASSERT_EQUAL(expected, this->Run({"apply", "n.yaml"}));
  }

  void NamesTheWinnerOfARace() {
    this->Run({"apply", "first.yaml"});
    ReleaseNote late = FirstNote();
    late.id = NoteId("late");
    this->files["late.yaml"] = WriteReleaseNote(late);
    CPPUNIT_ASSERT_EQUAL(
        std::string("1 conflict: the note is not written against the revision "
                    "in force, 1; nothing changed\n"
                    "revision 1 is note 'first' of marit\n"),
        this->Run({"apply", "late.yaml"}));
  }

  void ShowsADiff() {
    this->Run({"apply", "first.yaml"});
    this->files["n.yaml"] =
        "note: n\nbase_revision: 1\nauthor: marit\nchanged:\n"
        "  staleness_rules: [{group: permit-db, max_age: 5s}]\n";
    CPPUNIT_ASSERT_EQUAL(std::string("0 ~ staleness rule permit-db\n"
                                     "    max_age: 2000ms -> 5000ms\n"),
                         this->Run({"diff", "n.yaml"}));
    CPPUNIT_ASSERT_EQUAL(std::string("0 no findings\n"),
                         this->Run({"check", "n.yaml"}));
  }

  void ReportsALostAnswerAsUnreachable() {
    this->control.loses_answers = true;
    CPPUNIT_ASSERT_THROW(this->Run({"apply", "first.yaml"}), UnreachableError);
    this->control.loses_answers = false;
    CPPUNIT_ASSERT_EQUAL(
        std::string("0 accepted as revision 1 (the first answer again)\n"),
        this->Run({"apply", "first.yaml"}));
  }

  void ChecksANoteWithoutControl() {
    OperatorCommand command;
    command.action = OperatorAction::kCheck;
    command.note_path = "first.yaml";
    std::ostringstream out;
    CPPUNIT_ASSERT_EQUAL(0, RunOperatorCommand(command, this->Hooks(), out));
    this->files["first.yaml"] = "note: [";
    CPPUNIT_ASSERT_THROW(RunOperatorCommand(command, this->Hooks(), out),
                         UserError);
  }

 private:
  /** Returns the exit status and the output. */
  std::string Run(std::vector<const char*> words) {
    words.insert(words.begin(), "ferryctl");
    for (const char* word : {"--control", kAddress, "--operator", "marit",
                             "--secret-file", "secret"}) {
      words.push_back(word);
    }
    const OperatorCommand command =
        ParseOperatorCommand(static_cast<int>(words.size()), words.data());
    std::ostringstream out;
    const int status = RunOperatorCommand(command, this->Hooks(), out);
    return std::to_string(status) + " " + out.str();
  }

  OperatorProgramHooks Hooks() {
    OperatorProgramHooks hooks;
    hooks.call = [this](HttpRequest request) {
      SignHttpRequest("marit", kAddress, this->control.now, kOperatorSecret,
                      &request);
      HttpResponse answer;
      this->api->Handle(
          request, [&](const HttpResponse& response) { answer = response; });
      return answer;
    };
    hooks.read_file = [this](const std::string& path) {
      return this->files.at(path);
    };
    hooks.now = [this] {
      return std::chrono::steady_clock::time_point(
          this->control.now.time_since_epoch());
    };
    hooks.pause = [this](std::chrono::milliseconds length) {
      this->control.now += length;
      ++this->pauses;
      if (this->on_pause) {
        this->on_pause();
      }
    };
    return hooks;
  }

  FakeControl control;
  std::unique_ptr<OperatorApi> api;
  std::map<std::string, std::string> files;
  std::function<void()> on_pause;
  int pauses = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorProgramTest);

}  // namespace
}  // namespace lacewingferry
