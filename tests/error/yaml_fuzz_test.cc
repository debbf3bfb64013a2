#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

#include "lacewingferry/adapters/yaml/control_settings_reader.h"
#include "lacewingferry/adapters/yaml/proxy_settings_reader.h"
#include "lacewingferry/adapters/yaml/release_note_reader.h"
#include "lacewingferry/adapters/yaml/release_note_writer.h"
#include "lacewingferry/core/finding.h"
#include "tests/support/fuzz.h"
#include "tests/support/note_samples.h"
#include "tests/support/temporary_file.h"

namespace lacewingferry::testing {
namespace {

constexpr std::size_t kInputs = 2'000;

const char kPlace[] =
    "zone: nh-a\n"
    "region: nh\n"
    "listen: 127.0.0.1:8001\n"
    "peer_url: tcp://127.0.0.1:7001\n";
const char kProxy[] =
    "node: proxy-1\n"
    "token_secret: 0123456789abcdef\n"
    "control:\n"
    "  - {id: control-1, url: 'tcp://127.0.0.1:7101'}\n"
    "dialect: {status: SELECT 1}\n"
    "max_timeout: 10s\n"
    "log: {level: info}\n";
const char kControl[] =
    "node: control-1\n"
    "data_folder: data\n"
    "operator_secret: 0123456789abcdef\n"
    "voters: [{id: control-1, url: 'tcp://127.0.0.1:7001'}]\n";

/** Fuzzes a reader of files. */
template <typename Read>
void FuzzFile(const std::string& sample, Read read) {
  const TemporaryFile file("");
  const FuzzCounts counts = Fuzz<FindingsError>(
      {sample}, kInputs, [&file, &read](const std::string& text) {
        std::ofstream(file.Path(), std::ios::binary) << text;
        read(file.Path());
      });
  CPPUNIT_ASSERT(counts.decoded > 0);
  CPPUNIT_ASSERT(counts.refused > 0);
}

class YamlFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(YamlFuzzTest);
  CPPUNIT_TEST(DamagedReleaseNotesGiveFindings);
  CPPUNIT_TEST(DamagedProxySettingsGiveFindings);
  CPPUNIT_TEST(DamagedControlSettingsGiveFindings);
  CPPUNIT_TEST(TextThatNeverEndsIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DamagedReleaseNotesGiveFindings() {
    ReleaseNote note = FirstNote();
    note.changed.groups = {SampleGroup("works-db")};
    note.withdrawn.proxies = {NodeId("proxy-9")};
    const FuzzCounts counts = Fuzz<FindingsError>(
        {WriteReleaseNote(note), WriteReleaseNote(FirstNote())}, kInputs,
        [](const std::string& text) { ReadReleaseNote(text, "note"); });
    CPPUNIT_ASSERT(counts.decoded > 0);
    CPPUNIT_ASSERT(counts.refused > 0);
  }

  void DamagedProxySettingsGiveFindings() {
    FuzzFile(std::string(kPlace) + kProxy, ReadProxySettings);
  }

  void DamagedControlSettingsGiveFindings() {
    FuzzFile(std::string(kPlace) + kControl, ReadControlSettings);
  }

  // yaml-cpp reads empty documents from the comma for ever.
  void TextThatNeverEndsIsRefused() {
    try {
      ReadReleaseNote(",note: first\n", "note");
      CPPUNIT_FAIL("a note that begins with a comma was read");
    } catch (const FindingsError& error) {
      CPPUNIT_ASSERT_EQUAL(
          std::string("note:1:1: not valid YAML: nothing begins here\n"),
          std::string(error.what()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(YamlFuzzTest);

}  // namespace
}  // namespace lacewingferry::testing
