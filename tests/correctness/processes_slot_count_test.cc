#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <thread>

#include "bench/processes/poll_until.h"
#include "bench/processes/workload_tables.h"
#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

using processes::StatementReply;

/** The time in which a restarted proxy is in the views of all, less than a
 * transaction may rest. */
constexpr std::chrono::milliseconds kRestartTime{3000};

class ProcessesSlotCountTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesSlotCountTest);
  CPPUNIT_TEST(RestartedOwnerLeavesASlotToAnOpenTransaction);
  CPPUNIT_TEST_SUITE_END();

 public:
  // While the proxy of the primary's zone is dead, another one holds the
  // primary's connections, one of them for a transaction.
  void RestartedOwnerLeavesASlotToAnOpenTransaction() {
    ProcessCluster cluster("kraanwater");
    const processes::PlannedNode& owner = cluster.Plan().proxies.at(0);
    cluster.Local().Process(owner.id.Value()).Kill();
    const TransactionId transaction = this->Begin(cluster);
    cluster.Local().StartProxy(owner);
    std::this_thread::sleep_for(kRestartTime);
    StatementRequest commit = cluster.Request(RequestKind::kCommit, "");
    commit.transaction = transaction;
    cluster.Assert("no connection above the slots",
                   cluster.Local().RefusedSessions() == 0);
    // The second proxy may have lost its lease and not know the outcome.
    cluster.Assert(
        "the transaction kept its connection",
        !std::holds_alternative<NotRun>(cluster.Send(1, commit).outcome));
    cluster.Assert("the restarted proxy serves",
                   processes::PollUntil(kProcessDeadline, [&] {
                     return cluster.Local().Serves(owner);
                   }));
  }

 private:
  /** Begins a transaction with one write at the second proxy. */
  TransactionId Begin(ProcessCluster& cluster) {
    TransactionId transaction;
    cluster.Assert("a transaction at another proxy",
                   processes::PollUntil(kProcessDeadline, [&] {
                     const StatementReply begun = cluster.Send(
                         1, cluster.Request(RequestKind::kBegin, ""));
                     const auto* answer = std::get_if<Answered>(&begun.outcome);
                     if (answer != nullptr) transaction = answer->transaction;
                     return answer != nullptr;
                   }));
    StatementRequest insert = cluster.Request(
        RequestKind::kWrite, processes::InsertSql(processes::kJobsTable),
        {"held", "crew"});
    insert.transaction = transaction;
    cluster.Assert("insert", std::holds_alternative<Answered>(
                                 cluster.Send(1, insert).outcome));
    return transaction;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesSlotCountTest);

}  // namespace
}  // namespace lacewingferry::testing
