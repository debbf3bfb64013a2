#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

#include "lacewingferry/adapters/yaml/fleet_settings_reader.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/core/finding.h"
#include "platform/platform_bounds.h"
#include "tests/support/temporary_file.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

const char* const kControl =
    "name: core-1\naddress: 127.0.0.1\nzone: z0\nregions: {z0: r0}\n"
    "peer_port: 7300\nmetrics_port: 7301\ncontrol: ['127.0.0.1:8000']\n"
    "log: {output: stdout}\nlisten: 127.0.0.1:8000\ndata_folder: data\n"
    "founding: true\ntolerated_losses: 1\npromotion: 127.0.0.1:8001\n";

FleetControlProgramSettings Read(const std::string& more) {
  const TemporaryFile file(kControl + more);
  return ReadFleetControlSettings(file.Path());
}

std::size_t FindingsIn(const std::string& more) {
  try {
    Read(more);
  } catch (const FindingsError& error) {
    return error.Findings().size();
  }
  return 0;
}

class FleetSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetSettingsTest);
  CPPUNIT_TEST(ReadsCustomerLimits);
  CPPUNIT_TEST(LimitsMayNotBeExceededByDefault);
  CPPUNIT_TEST(ReportsAllMistakesOfCustomerLimits);
  CPPUNIT_TEST(ReadsLimitsFromBoundsOfThePlatform);
  CPPUNIT_TEST(BoundsOfOtherMattersAreIgnored);
  CPPUNIT_TEST(BoundsMustBeNumbers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsCustomerLimits() {
    const CustomerLimitSettings limits =
        Read("customer_limits: {window: 5s, overrun: 0.1, slack: 20}\n").limits;
    CPPUNIT_ASSERT(limits.window == milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(0.1, limits.overrun);
    CPPUNIT_ASSERT_EQUAL(20.0, limits.slack);
  }

  void LimitsMayNotBeExceededByDefault() {
    const CustomerLimitSettings limits = Read("").limits;
    CPPUNIT_ASSERT(limits.window == milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(0.0, limits.overrun);
    CPPUNIT_ASSERT_EQUAL(0.0, limits.slack);
  }

  void ReportsAllMistakesOfCustomerLimits() {
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{3},
        FindingsIn("customer_limits: {window: soon, overrun: -1, slack: x}\n"));
    CPPUNIT_ASSERT(FindingsIn("customer_limits: {overrun: .nan}\n") > 0);
    CPPUNIT_ASSERT(FindingsIn("customer_limits: {quota: 3}\n") > 0);
    CPPUNIT_ASSERT(FindingsIn("customer_limits: 3\n") > 0);
  }

  void ReadsLimitsFromBoundsOfThePlatform() {
    const CustomerLimitSettings limits = platform::ReadPlatformBounds(
        Read("platform_bounds: {\"quota_window_s\": 2.5, \"quota_overrun\": "
             "0.1, "
             "\"quota_slack\": 20}\n")
            .platform_bounds);
    CPPUNIT_ASSERT(limits.window == milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(0.1, limits.overrun);
    CPPUNIT_ASSERT_EQUAL(20.0, limits.slack);
  }

  void BoundsOfOtherMattersAreIgnored() {
    const auto settings = Read(
        "platform_bounds: {\"grace_s\": 6, \"fencing\": false, "
        "\"quota_slack\": false, \"x\": [1]}\n");
    const CustomerLimitSettings limits =
        platform::ReadPlatformBounds(settings.platform_bounds);
    CPPUNIT_ASSERT(limits.window == milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(0.0, limits.overrun);
    CPPUNIT_ASSERT(!settings.has_limits);
    CPPUNIT_ASSERT(Read("customer_limits: {window: 5s}\n").has_limits);
  }

  void BoundsMustBeNumbers() {
    for (const char* text : {"-1", "soon", "1x", "", "nan", "inf"}) {
      CPPUNIT_ASSERT_THROW_MESSAGE(
          text, platform::ReadPlatformBounds({{"quota_slack", text}}),
          UserError);
    }
    CPPUNIT_ASSERT(FindingsIn("platform_bounds: 3\n") > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSettingsTest);

}  // namespace
}  // namespace lacewingferry
