#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "lacewingferry/adapters/yaml/release_note_reader.h"
#include "lacewingferry/decisions/configuration/note_application.h"
#include "lacewingferry/decisions/configuration/note_check.h"
#include "tests/support/note_samples.h"

namespace lacewingferry {
namespace {

/** Returns the findings for a note on a system to which FirstNote was applied.
 */
std::string FindingsFor(const ReleaseNote& note) {
  Configuration configuration;
  ApplyNote(NoteSubmission{FirstNote(), {}, ""}, &configuration);
  std::string all;
  for (const NoteFinding& finding : CheckNote(note, configuration)) {
    all += finding.item + ": " + finding.message + "\n";
  }
  return all;
}

class ReleaseNoteFindingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReleaseNoteFindingsTest);
  CPPUNIT_TEST(ReportsAllMistakesOfADocument);
  CPPUNIT_TEST(ReportsAllItemsThatDoNotFit);
  CPPUNIT_TEST(ReportsRelationsThatWouldBreak);
  CPPUNIT_TEST(ReportsEmptyNotes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportsAllMistakesOfADocument() {
    try {
      ReadReleaseNote(
          "note: n1\n"
          "base_revison: 3\n"
          "added:\n"
          "  groups:\n"
          "    - {id: permit-db, databases: permit-db-1, members: 0}\n"
          "  staleness_rules:\n"
          "    - {group: permit-db, max_age: 2}\n"
          "  proxys: []\n"
          "withdrawn: {proxies: [proxy 1]}\n",
          "n.yaml");
      CPPUNIT_FAIL("a wrong note was read");
    } catch (const FindingsError& error) {
      CPPUNIT_ASSERT_EQUAL(
          std::string(
              "n.yaml:1:1: required key 'base_revision' is missing\n"
              "n.yaml:1:1: required key 'author' is missing\n"
              "n.yaml:2:1: unknown key 'base_revison' in a release note, did "
              "you mean 'base_revision'?\n"
              "n.yaml:5:7: required key 'slots' is missing\n"
              "n.yaml:5:34: 'databases' must be a list\n"
              "n.yaml:5:56: 'members' must be a whole number from 1 to 9, not "
              "'0'\n"
              "n.yaml:7:35: 'max_age' must be a duration with its unit, for "
              "example 250ms, 2s or 1min, not '2'\n"
              "n.yaml:8:3: unknown key 'proxys' in 'added', did you mean "
              "'proxies'?\n"
              "n.yaml:9:23: a withdrawn name must be a name of letters, "
              "digits, '-', '_' and '.', not 'proxy 1'\n"),
          std::string(error.what()));
    }
  }

  void ReportsAllItemsThatDoNotFit() {
    ReleaseNote note = EmptyNote("n", 1);
    note.added.proxies = {SampleProxy(1)};
    note.changed.proxies = {SampleProxy(2), SampleProxy(3)};
    note.withdrawn.proxies = {NodeId("proxy-4"), NodeId("proxy-4")};
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "added proxy 'proxy-1': is in force already; list it under changed "
            "instead\n"
            "changed proxy 'proxy-2': is the same as in force\n"
            "changed proxy 'proxy-3': is not in force; list it under added "
            "instead\n"
            "withdrawn proxy 'proxy-4': is not in force\n"
            "withdrawn proxy 'proxy-4': is named twice in the note\n"
            "withdrawn proxy 'proxy-4': is not in force\n"),
        FindingsFor(note));
  }

  void ReportsRelationsThatWouldBreak() {
    ReleaseNote note = EmptyNote("n", 1);
    note.added.groups = {SampleGroup("works-db")};
    note.added.groups[0].databases = {DatabaseId("permit-db-1")};
    note.changed.groups = {SampleGroup("permit-db")};
    note.changed.groups[0].slots = 0;
    note.added.proxies = {SampleProxy(3)};
    note.added.proxies[0].peer_url = SampleProxy(1).peer_url;
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "added group 'works-db': names database 'permit-db-1', which group "
            "'permit-db' has too\n"
            "added proxy 'proxy-3': has the peer_url of proxy 'proxy-1'\n"
            "changed group 'permit-db': must have slots from 1 to 10000, not "
            "0\n"
            "changed group 'permit-db': names database 'permit-db-1', which "
            "group 'works-db' has too\n"),
        FindingsFor(note));
    ReleaseNote withdrawal = EmptyNote("n", 1);
    withdrawal.withdrawn.groups = {GroupId("permit-db")};
    CPPUNIT_ASSERT_EQUAL(
        std::string("withdrawn group 'permit-db': still has its staleness "
                    "rule; withdraw that too\n"),
        FindingsFor(withdrawal));
  }

  void ReportsEmptyNotes() {
    ReleaseNote note = EmptyNote("", 1);
    note.author.clear();
    CPPUNIT_ASSERT_EQUAL(std::string(": the note has no id\n"
                                     ": the note has no author\n"
                                     ": the note changes nothing\n"),
                         FindingsFor(note));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReleaseNoteFindingsTest);

}  // namespace
}  // namespace lacewingferry
