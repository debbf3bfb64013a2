#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <thread>

#include "bench/processes/poll_until.h"
#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

using processes::StatementReply;

constexpr std::chrono::milliseconds kLoadLength{10000};
constexpr std::chrono::milliseconds kStopLimit{20000};
/** A leaving member gets no new work after this time. */
constexpr std::chrono::milliseconds kLeaveNotice{2000};
/** Within this time control admits all members of a new database. */
constexpr std::chrono::milliseconds kAdmissionTime{4000};

class ProcessesPlannedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesPlannedStopTest);
  CPPUNIT_TEST(StoppingProxyCutsNoRequest);
  CPPUNIT_TEST(LeavingReplicaGetsNoNewWork);
  CPPUNIT_TEST(LeavingPrimaryIsReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StoppingProxyCutsNoRequest() {
    ProcessCluster cluster("wanjiru");
    cluster.StartLoad(kLoadLength);
    std::this_thread::sleep_for(kLoadLength / 4);
    auto& proxy =
        cluster.Local().Process(cluster.Plan().proxies.at(1).id.Value());
    proxy.Signal(SIGTERM);
    const std::optional<int> status = proxy.WaitForEnd(kStopLimit);
    cluster.Assert("the proxy ends as planned", status == 0);
    const processes::RunVerdict verdict = cluster.FinishLoad();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, verdict.lost_answers);
  }

  void LeavingReplicaGetsNoNewWork() {
    ProcessCluster cluster("kraanwater");
    const MemberId primary =
        cluster.Local().PrimaryOf(cluster.Database(), kProcessDeadline);
    const std::string token = this->TokenOf(cluster);
    MemberId leaving;
    cluster.Assert("a read at a replica",
                   processes::PollUntil(kProcessDeadline, [&] {
                     leaving = this->ReadAt(cluster, token);
                     return !leaving.Empty() && leaving != primary;
                   }));
    cluster.Local().Process(leaving.Value()).Signal(SIGTERM);
    std::this_thread::sleep_for(kLeaveNotice);
    for (int i = 0; i < 50; ++i) {
      const MemberId served = this->ReadAt(cluster, token);
      cluster.Assert("reads go on", !served.Empty());
      cluster.Assert("no new work for " + leaving.Value(), served != leaving);
    }
  }

  void LeavingPrimaryIsReplaced() {
    ProcessCluster cluster("kraanwater");
    cluster.StartLoad(kLoadLength * 2);
    std::this_thread::sleep_for(kAdmissionTime);
    const MemberId leaving = cluster.FailPrimary(SIGTERM);
    cluster.WaitForOtherPrimary(leaving);
    cluster.FinishLoad();
  }

 private:
  std::string TokenOf(ProcessCluster& cluster) {
    return cluster.Send(0, cluster.Request(RequestKind::kRead, "SELECT 1"))
        .token;
  }

  /** The member that serves a read of the session; empty if none does. */
  MemberId ReadAt(ProcessCluster& cluster, const std::string& token) {
    const StatementReply reply =
        cluster.Send(0, cluster.Request(RequestKind::kRead, "SELECT 1"), token);
    const auto* answer = std::get_if<Answered>(&reply.outcome);
    return answer == nullptr ? MemberId() : answer->served_by;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesPlannedStopTest);

}  // namespace
}  // namespace lacewingferry::testing
