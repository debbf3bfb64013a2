#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <thread>

#include "bench/processes/poll_until.h"
#include "bench/processes/workload_tables.h"
#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

using processes::StatementReply;

constexpr std::chrono::milliseconds kLoadLength{10000};

class ProcessesProxyKillTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesProxyKillTest);
  CPPUNIT_TEST(OpenTransactionOfAKilledProxyIsRolledBack);
  CPPUNIT_TEST(CallersGoOnAtOtherProxies);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OpenTransactionOfAKilledProxyIsRolledBack() {
    ProcessCluster cluster("kraanwater");
    const StatementReply begun =
        cluster.Send(0, cluster.Request(RequestKind::kBegin, ""));
    const auto* answer = std::get_if<Answered>(&begun.outcome);
    cluster.Assert("begin", answer != nullptr);
    StatementRequest insert = this->Insert(cluster, "half-done");
    insert.transaction = answer->transaction;
    cluster.Assert("insert", this->Answers(cluster, 0, insert));
    this->KillProxy(cluster, 0);
    // The write lock of the transaction is free again.
    cluster.Assert(
        "a write at another proxy", processes::PollUntil(kProcessDeadline, [&] {
          return this->Answers(cluster, 1, this->Insert(cluster, "next"));
        }));
    StatementRequest commit = cluster.Request(RequestKind::kCommit, "");
    commit.transaction = answer->transaction;
    cluster.Assert("no commit at another proxy",
                   !this->Answers(cluster, 1, commit));
    CPPUNIT_ASSERT_EQUAL(std::string("0"), this->Count(cluster, "half-done"));
  }

  void CallersGoOnAtOtherProxies() {
    ProcessCluster cluster("wanjiru");
    cluster.StartLoad(kLoadLength);
    std::this_thread::sleep_for(kLoadLength / 4);
    this->KillProxy(cluster, 0);
    std::this_thread::sleep_for(kLoadLength / 4);
    cluster.Local().StartProxy(cluster.Plan().proxies.at(0));
    cluster.FinishLoad();
  }

 private:
  void KillProxy(ProcessCluster& cluster, std::size_t proxy) {
    cluster.Local().Process(cluster.Plan().proxies.at(proxy).id.Value()).Kill();
  }

  StatementRequest Insert(const ProcessCluster& cluster,
                          const std::string& tag) {
    return cluster.Request(RequestKind::kWrite,
                           processes::InsertSql(processes::kJobsTable),
                           {tag, "crew"});
  }

  bool Answers(ProcessCluster& cluster, std::size_t proxy,
               const StatementRequest& request) {
    return std::holds_alternative<Answered>(
        cluster.Send(proxy, request).outcome);
  }

  std::string Count(ProcessCluster& cluster, const std::string& tag) {
    const StatementReply reply = cluster.Send(
        1, cluster.Request(RequestKind::kRead,
                           processes::CountSql(processes::kJobsTable), {tag}));
    const auto* answer = std::get_if<Answered>(&reply.outcome);
    cluster.Assert("count", answer != nullptr);
    return answer->result.rows.at(0).at(0).value();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesProxyKillTest);

}  // namespace
}  // namespace lacewingferry::testing
