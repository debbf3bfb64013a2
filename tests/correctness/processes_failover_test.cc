#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

constexpr std::chrono::milliseconds kLoadLength{20000};

class ProcessesFailoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesFailoverTest);
  CPPUNIT_TEST(KilledPrimaryIsReplacedUnderLoad);
  CPPUNIT_TEST(TwoKillsInARow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KilledPrimaryIsReplacedUnderLoad() {
    ProcessCluster cluster("kraanwater");
    cluster.StartLoad(kLoadLength);
    const MemberId killed = cluster.FailPrimary(SIGKILL);
    cluster.WaitForOtherPrimary(killed);
    const processes::RunVerdict verdict = cluster.FinishLoad();
    cluster.Assert("a write after the failover",
                   verdict.gaps.at(0).length.has_value());
  }

  // The first killed member is back before the second is killed, since a
  // majority of the members confirms each write.
  void TwoKillsInARow() {
    ProcessCluster cluster("wanjiru");
    cluster.StartLoad(kLoadLength);
    const MemberId first = cluster.FailPrimary(SIGKILL);
    cluster.WaitForOtherPrimary(first);
    this->Restart(cluster, first);
    const MemberId second = cluster.FailPrimary(SIGKILL);
    cluster.WaitForOtherPrimary(second);
    this->Restart(cluster, second);
    const processes::RunVerdict verdict = cluster.FinishLoad();
    cluster.Assert("a write after the second failover",
                   verdict.gaps.at(1).length.has_value());
  }

 private:
  void Restart(ProcessCluster& cluster, const MemberId& killed) {
    for (const processes::PlannedMember& member : cluster.Plan().members) {
      if (member.id == killed) cluster.Local().StartMember(member);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesFailoverTest);

}  // namespace
}  // namespace lacewingferry::testing
