#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "lacewingferry/adapters/yaml/proxy_settings_reader.h"
#include "lacewingferry/core/finding.h"
#include "tests/support/temporary_file.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

const char* const kCorrect =
    "node: proxy-1\n"
    "zone: nh-a\n"
    "region: nh\n"
    "listen: 127.0.0.1:8001\n"
    "peer_url: tcp://127.0.0.1:7001\n"
    "control:\n"
    "  - {id: control-1, url: 'tcp://127.0.0.1:7101'}\n"
    "token_secret: 0123456789abcdef\n";

/** The findings of a file, each as line:column: message. */
std::string FindingsOf(const std::string& text) {
  const TemporaryFile file(text);
  try {
    ReadProxySettings(file.Path());
  } catch (const FindingsError& error) {
    std::string all;
    for (const Finding& finding : error.Findings()) {
      CPPUNIT_ASSERT_EQUAL(file.Path(), finding.place.file);
      all += std::to_string(finding.place.line) + ":" +
             std::to_string(finding.place.column) + ": " + finding.message +
             "\n";
    }
    return all;
  }
  return "";
}

class ProxySettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxySettingsTest);
  CPPUNIT_TEST(ReadsACorrectFile);
  CPPUNIT_TEST(ReadsEveryOptionalPart);
  CPPUNIT_TEST(ReportsAllMistakesTogetherInOrder);
  CPPUNIT_TEST(ReportsValuesOfTheWrongKind);
  CPPUNIT_TEST(ReportsSyntaxErrorsWithTheirPlace);
  CPPUNIT_TEST(ReportsFilesThatHoldNoSettings);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsACorrectFile() {
    const TemporaryFile file(kCorrect);
    const ProxySettings settings = ReadProxySettings(file.Path());
    CPPUNIT_ASSERT_EQUAL(std::string("proxy-1"), settings.node.Value());
    CPPUNIT_ASSERT((settings.listen == Endpoint{"127.0.0.1", 8001}));
    CPPUNIT_ASSERT_EQUAL(std::string("tcp://127.0.0.1:7101"),
                         settings.control.at(0).url);
    CPPUNIT_ASSERT(settings.max_timeout == milliseconds(10000));
  }

  void ReadsEveryOptionalPart() {
    const TemporaryFile file(std::string(kCorrect) +
                             "peers: [{id: p2, url: 'tcp://[::1]:7002'}]\n"
                             "traffic_threads: 3\n"
                             "max_timeout: 1min\n"
                             "default_timeout: 250ms\n"
                             "drain_limit: 2s\n"
                             "max_body_bytes: 1000\n"
                             "max_caller_connections: 10\n"
                             "dialect: {status: SELECT 1}\n"
                             "log: {level: error}\n");
    const ProxySettings settings = ReadProxySettings(file.Path());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settings.peers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, settings.traffic_threads);
    CPPUNIT_ASSERT(settings.max_timeout == milliseconds(60000));
    CPPUNIT_ASSERT(settings.default_timeout == milliseconds(250));
    CPPUNIT_ASSERT(settings.drain_limit == milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::string("SELECT 1"), settings.dialect.status);
    CPPUNIT_ASSERT_EQUAL(std::string("error"), settings.log.level);
  }

  void ReportsAllMistakesTogetherInOrder() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "1:1: required key 'region' is missing\n"
            "1:1: required key 'control' is missing\n"
            "1:7: 'node' must be a name of letters, digits, '-', '_' and '.', "
            "not 'proxy 1'\n"
            "3:9: 'listen' must be IP:PORT with a port from 1 to 65535, not "
            "'127.0.0.1:80010'\n"
            "4:11: 'peer_url' must be tcp://IP:PORT by IP number with a port "
            "from 1 to 65535, not 'tcp://localhost:7001'\n"
            "7:10: id 'proxy-2' stands twice in 'peers'\n"
            "8:15: 'token_secret' must have at least 16 characters, not 5\n"
            "9:1: unknown key 'max_timout' in the settings of a proxy, did you "
            "mean 'max_timeout'?\n"
            "10:1: key stands twice: 'zone' in the settings of a proxy\n"),
        FindingsOf("node: proxy 1\n"
                   "zone: nh-a\n"
                   "listen: 127.0.0.1:80010\n"
                   "peer_url: tcp://localhost:7001\n"
                   "peers:\n"
                   "  - {id: proxy-2, url: 'tcp://127.0.0.1:7002'}\n"
                   "  - {id: proxy-2, url: 'tcp://127.0.0.1:7003'}\n"
                   "token_secret: short\n"
                   "max_timout: 5s\n"
                   "zone: nb-a\n"));
  }

  void ReportsValuesOfTheWrongKind() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "9:14: 'drain_limit' must be a duration with its unit, for "
            "example 250ms, 2s or 1min, not '12'\n"
            "10:18: 'traffic_threads' must be a whole number from 1 to 256, "
            "not '-1'\n"
            "11:8: 'peers' must be a list\n"
            "12:14: 'level' must be debug, info, warning or error, not "
            "'verbose'\n"
            "13:14: 'max_timeout' must be a single value\n"
            "14:10: 'dialect' must be a mapping of keys to values\n"),
        FindingsOf(std::string(kCorrect) + "drain_limit: 12\n"
                                           "traffic_threads: -1\n"
                                           "peers: none\n"
                                           "log: {level: verbose}\n"
                                           "max_timeout: [5s]\n"
                                           "dialect: postgres\n"));
  }

  void ReportsSyntaxErrorsWithTheirPlace() {
    const std::string found = FindingsOf("node: proxy-1\nzone: [nh-a\n");
    CPPUNIT_ASSERT_EQUAL(std::string("3:1: not valid YAML"),
                         found.substr(0, 19));
    CPPUNIT_ASSERT_EQUAL(std::string("10:1: a second document starts here\n"),
                         FindingsOf(std::string(kCorrect) + "---\nnode: x\n"));
  }

  void ReportsFilesThatHoldNoSettings() {
    CPPUNIT_ASSERT_EQUAL(std::string("0:0: is empty\n"), FindingsOf(""));
    CPPUNIT_ASSERT_EQUAL(std::string("1:1: the settings of a proxy must be a "
                                     "mapping of keys to values\n"),
                         FindingsOf("- a\n"));
    try {
      ReadProxySettings("no/such/file.yaml");
      CPPUNIT_FAIL("a missing file was read");
    } catch (const FindingsError& error) {
      CPPUNIT_ASSERT_EQUAL(std::string("no/such/file.yaml:0:0: can't be "
                                       "read\n"),
                           std::string(error.what()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxySettingsTest);

}  // namespace
}  // namespace lacewingferry
