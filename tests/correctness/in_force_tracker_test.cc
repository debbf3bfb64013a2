#include "lacewingferry/decisions/configuration/in_force_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/decisions/configuration/item_changes.h"
#include "lacewingferry/decisions/configuration/note_diff.h"
#include "tests/support/note_samples.h"

namespace lacewingferry {
namespace {

class InForceTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InForceTrackerTest);
  CPPUNIT_TEST(NamesTheProxiesThatLag);
  CPPUNIT_TEST(IgnoresLateReports);
  CPPUNIT_TEST(ResetsAtANewIncarnation);
  CPPUNIT_TEST(ShowsWhatANoteWouldChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->configuration = ConfigurationInForce();
    ApplyItems(FirstNote(), &this->configuration);
    this->tracker = InForceTracker();
  }

  void NamesTheProxiesThatLag() {
    this->tracker.Report(NodeId("proxy-1"), 1, 1);
    this->tracker.Report(NodeId("stranger"), 1, 1);
    const InForceSummary summary = this->tracker.Summarize(this->configuration);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, summary.in_force);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, summary.total);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, summary.lagging.size());
    CPPUNIT_ASSERT_EQUAL(std::string("proxy-2"), summary.lagging[0].id.Value());
  }

  void IgnoresLateReports() {
    this->tracker.Report(NodeId("proxy-1"), 2, 1);
    this->tracker.Report(NodeId("proxy-1"), 2, 0);
    this->tracker.Report(NodeId("proxy-1"), 1, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         this->tracker.Summarize(this->configuration).in_force);
  }

  void ResetsAtANewIncarnation() {
    this->tracker.Report(NodeId("proxy-1"), 1, 1);
    this->tracker.Report(NodeId("proxy-1"), 2, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         this->tracker.Summarize(this->configuration).in_force);
  }

  void ShowsWhatANoteWouldChange() {
    ReleaseNote note = EmptyNote("n", 1);
    note.changed.groups = {SampleGroup("permit-db")};
    note.changed.groups[0].slots = 8;
    note.withdrawn.proxies = {NodeId("proxy-2")};
    const auto differences = DiffNote(note, this->configuration);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, differences.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, differences[0].fields.size());
    CPPUNIT_ASSERT_EQUAL(std::string("slots"), differences[0].fields[0].field);
    CPPUNIT_ASSERT_EQUAL(std::string("5"), differences[0].fields[0].before);
    CPPUNIT_ASSERT_EQUAL(std::string("8"), differences[0].fields[0].after);
    CPPUNIT_ASSERT(differences[1].action == DiffAction::kWithdrawn);
    CPPUNIT_ASSERT_EQUAL(std::string("proxy-2"), differences[1].id);
  }

 private:
  ConfigurationInForce configuration;
  InForceTracker tracker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(InForceTrackerTest);

}  // namespace
}  // namespace lacewingferry
