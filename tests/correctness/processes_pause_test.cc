#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <thread>

#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

constexpr std::chrono::milliseconds kLoadLength{20000};
/** Longer than leases and election timeouts. */
constexpr std::chrono::milliseconds kPauseLength{8000};

class ProcessesPauseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesPauseTest);
  CPPUNIT_TEST(ReplacedPrimaryAcknowledgesNothing);
  CPPUNIT_TEST(PausedControlLeaderIsReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The verdict counts writes that the paused primary acknowledges after its
  // successor has acknowledged one.
  void ReplacedPrimaryAcknowledgesNothing() {
    ProcessCluster cluster("kraanwater");
    cluster.StartLoad(kLoadLength);
    const MemberId paused = cluster.FailPrimary(SIGSTOP);
    cluster.WaitForOtherPrimary(paused);
    cluster.Local().Process(paused.Value()).Signal(SIGCONT);
    const processes::RunVerdict verdict = cluster.FinishLoad();
    cluster.Assert("a write after the failover",
                   verdict.gaps.at(0).length.has_value());
  }

  void PausedControlLeaderIsReplaced() {
    ProcessCluster cluster("kraanwater");
    cluster.StartLoad(kLoadLength);
    const NodeId leader = cluster.Local().ControlLeader(kProcessDeadline);
    cluster.Local().Process(leader.Value()).Signal(SIGSTOP);
    std::this_thread::sleep_for(kPauseLength);
    cluster.Local().Process(leader.Value()).Signal(SIGCONT);
    const MemberId killed = cluster.FailPrimary(SIGKILL);
    cluster.WaitForOtherPrimary(killed);
    cluster.FinishLoad();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesPauseTest);

}  // namespace
}  // namespace lacewingferry::testing
