#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

constexpr std::chrono::milliseconds kLoadLength{25000};

class ProcessesControlRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesControlRestartTest);
  CPPUNIT_TEST(ControlComesBackToItsState);
  CPPUNIT_TEST_SUITE_END();

 public:
  // After a failover all of control is killed and restarted. It has to know
  // the new primary, and to replace it when it is killed too.
  void ControlComesBackToItsState() {
    ProcessCluster cluster("kraanwater");
    cluster.StartLoad(kLoadLength);
    const MemberId first = cluster.FailPrimary(SIGKILL);
    const MemberId second = cluster.WaitForOtherPrimary(first);
    for (const auto& control : cluster.Plan().controls) {
      cluster.Local().Process(control.id.Value()).Kill();
    }
    for (const auto& control : cluster.Plan().controls) {
      cluster.Local().StartControl(control);
    }
    cluster.Local().ControlLeader(kProcessDeadline);
    const MemberId now =
        cluster.Local().PrimaryOf(cluster.Database(), kProcessDeadline);
    cluster.Assert("still " + second.Value(), now == second);
    for (const auto& member : cluster.Plan().members) {
      if (member.id == first) cluster.Local().StartMember(member);
    }
    cluster.FailPrimary(SIGKILL);
    cluster.WaitForOtherPrimary(second);
    cluster.FinishLoad();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesControlRestartTest);

}  // namespace
}  // namespace lacewingferry::testing
