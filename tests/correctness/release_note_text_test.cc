#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

#include "lacewingferry/adapters/yaml/release_note_reader.h"
#include "lacewingferry/adapters/yaml/release_note_writer.h"
#include "tests/support/note_samples.h"

namespace lacewingferry {
namespace {

class ReleaseNoteTextTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReleaseNoteTextTest);
  CPPUNIT_TEST(IsReadAsWritten);
  CPPUNIT_TEST(KeepsAnyAuthor);
  CPPUNIT_TEST(KeepsThePlacesOfItems);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IsReadAsWritten() {
    ReleaseNote note = FirstNote();
    note.base_revision = 18446744073709551614ULL;
    note.added.proxies[1].generation = 3;
    note.changed.groups = {SampleGroup("works-db")};
    note.withdrawn.proxies = {NodeId("proxy-9"), NodeId("007")};
    note.withdrawn.staleness_rules = {GroupId("true")};
    CPPUNIT_ASSERT(ReadReleaseNote(WriteReleaseNote(note), "note").note ==
                   note);
  }

  void KeepsAnyAuthor() {
    CPPUNIT_ASSERT(rc::check([] {
      ReleaseNote note = FirstNote();
      note.author = *rc::gen::nonEmpty(
          rc::gen::container<std::string>(rc::gen::inRange<char>(32, 127)));
      RC_ASSERT(ReadReleaseNote(WriteReleaseNote(note), "note").note == note);
    }));
  }

  void KeepsThePlacesOfItems() {
    const PlacedNote placed = ReadReleaseNote(
        "note: n1\nbase_revision: 3\nauthor: marit\n"
        "withdrawn:\n  proxies: [proxy-1, proxy-2]\n",
        "n.yaml");
    const auto findings =
        placed.Locate({NoteFinding{"withdrawn proxy 'proxy-2'", "is unknown"},
                       NoteFinding{"", "the note is old"}});
    CPPUNIT_ASSERT_EQUAL(
        std::string("n.yaml:5:22: withdrawn proxy 'proxy-2' is unknown\n"
                    "n.yaml:1:1: the note is old\n"),
        FormatFindings(findings));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReleaseNoteTextTest);

}  // namespace
}  // namespace lacewingferry
