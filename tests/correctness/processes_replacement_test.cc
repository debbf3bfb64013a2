#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <filesystem>

#include "bench/processes/file_text.h"
#include "bench/processes/free_ports.h"
#include "bench/processes/poll_until.h"
#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

using processes::PlannedMember;
using std::chrono::milliseconds;

constexpr milliseconds kLoadLength{25000};

/** A replica's machine is lost and one under a new name takes its place. */
class ProcessesReplacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesReplacementTest);
  CPPUNIT_TEST(ANewServerLetsThePrimaryBeReplacedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ANewServerLetsThePrimaryBeReplacedAgain() {
    ProcessCluster cluster("kraanwater");
    cluster.StartLoad(kLoadLength);
    const PlannedMember lost = FindReplica(cluster);
    cluster.Local().Process(lost.id.Value()).Signal(SIGKILL);
    const PlannedMember fresh = this->StartInPlaceOf(cluster, lost);
    cluster.Assert("control admits " + fresh.id.Value(),
                   processes::PollUntil(kProcessDeadline, [&] {
                     return IsAdmitted(cluster, fresh.id);
                   }));
    // Two of the three first members are gone after this.
    const MemberId killed = cluster.FailPrimary(SIGKILL);
    cluster.WaitForOtherPrimary(killed);
    const processes::RunVerdict verdict = cluster.FinishLoad();
    cluster.Assert("a write after the failover",
                   verdict.gaps.at(0).length.has_value());
  }

 private:
  static PlannedMember FindReplica(const ProcessCluster& cluster) {
    for (const PlannedMember& member : cluster.Plan().members) {
      if (!member.first_primary) return member;
    }
    CPPUNIT_FAIL("the plan has no replica");
    return {};
  }

  static bool IsAdmitted(ProcessCluster& cluster, const MemberId& member) {
    for (const auto& control : cluster.Plan().controls) {
      const std::string log = processes::FileText(
          cluster.Local().Files().LogOf(control.id.Value()));
      if (log.find("added " + member.Value()) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  PlannedMember StartInPlaceOf(ProcessCluster& cluster,
                               const PlannedMember& lost) {
    PlannedMember fresh = lost;
    fresh.id = MemberId(lost.id.Value() + "-new");
    fresh.listen.port = this->ports.Take();
    fresh.replication.port = this->ports.Take();
    std::filesystem::create_directory(
        cluster.Local().Files().DataOf(fresh.id.Value()));
    cluster.Local().StartMember(fresh);
    return fresh;
  }

  processes::FreePorts ports;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesReplacementTest);

}  // namespace
}  // namespace lacewingferry::testing
