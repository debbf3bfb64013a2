#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

#include "lacewingferry/adapters/yaml/control_settings_reader.h"
#include "lacewingferry/core/finding.h"
#include "tests/support/temporary_file.h"

namespace lacewingferry {
namespace {

const char* const kCorrect =
    "node: control-1\n"
    "zone: nh-a\n"
    "region: nh\n"
    "listen: 127.0.0.1:8101\n"
    "peer_url: tcp://127.0.0.1:7101\n"
    "data_folder: data/control-1\n"
    "operator_secret: 0123456789abcdef\n";

class ControlSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlSettingsTest);
  CPPUNIT_TEST(ReadsACorrectFile);
  CPPUNIT_TEST(ReportsVotersWithoutThisProcess);
  CPPUNIT_TEST(NeverQuotesTheSecret);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsACorrectFile() {
    const TemporaryFile file(
        std::string(kCorrect) +
        "voters: [{id: control-1, url: 'tcp://127.0.0.1:7101'}]\n"
        "member_lost_after: 20min\n");
    const ControlSettings settings = ReadControlSettings(file.Path());
    CPPUNIT_ASSERT(std::chrono::minutes(20) == settings.member_lost_after);
    CPPUNIT_ASSERT_EQUAL(std::string("data/control-1"), settings.data_folder);
    CPPUNIT_ASSERT_EQUAL(std::string("control-1"),
                         settings.voters.at(0).id.Value());
  }

  void ReportsVotersWithoutThisProcess() {
    const TemporaryFile file(
        std::string(kCorrect) +
        "voters: [{id: control-2, url: 'tcp://127.0.0.1:7102'}]\n");
    this->ExpectFinding(file,
                        "8:9: 'voters' must include this process, 'control-1'");
  }

  void NeverQuotesTheSecret() {
    const TemporaryFile file(
        "node: control-1\nzone: nh-a\nregion: nh\nlisten: 127.0.0.1:8101\n"
        "peer_url: tcp://127.0.0.1:7101\ndata_folder: data\n"
        "operator_secret: hunter2\n"
        "voters: [{id: control-1, url: 'tcp://127.0.0.1:7101'}]\n");
    this->ExpectFinding(
        file,
        "7:18: 'operator_secret' must have at least 16 characters, not 7");
  }

 private:
  void ExpectFinding(const TemporaryFile& file, const std::string& expected) {
    try {
      ReadControlSettings(file.Path());
      CPPUNIT_FAIL("a wrong file was read");
    } catch (const FindingsError& error) {
      CPPUNIT_ASSERT_EQUAL(file.Path() + ":" + expected + "\n",
                           std::string(error.what()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlSettingsTest);

}  // namespace
}  // namespace lacewingferry
