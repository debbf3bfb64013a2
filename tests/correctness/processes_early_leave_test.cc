#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

constexpr std::chrono::milliseconds kLoadLength{20000};

class ProcessesEarlyLeaveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesEarlyLeaveTest);
  CPPUNIT_TEST(PrimaryThatLeavesAtOnceIsReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The primary leaves before control has admitted all members.
  void PrimaryThatLeavesAtOnceIsReplaced() {
    ProcessCluster cluster("kraanwater");
    cluster.StartLoad(kLoadLength);
    const MemberId leaving = cluster.FailPrimary(SIGTERM);
    cluster.WaitForOtherPrimary(leaving);
    cluster.FinishLoad();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesEarlyLeaveTest);

}  // namespace
}  // namespace lacewingferry::testing
