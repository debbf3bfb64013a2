#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

constexpr std::chrono::milliseconds kLoadLength{20000};

class ProcessesLeavingPrimaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesLeavingPrimaryTest);
  CPPUNIT_TEST(LeavingPrimaryIsReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeavingPrimaryIsReplaced() {
    ProcessCluster cluster("kraanwater");
    cluster.StartLoad(kLoadLength);
    const MemberId leaving = cluster.FailPrimary(SIGTERM);
    cluster.WaitForOtherPrimary(leaving);
    cluster.FinishLoad();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesLeavingPrimaryTest);

}  // namespace
}  // namespace lacewingferry::testing
