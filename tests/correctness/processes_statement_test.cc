#include <cppunit/extensions/HelperMacros.h>

#include "bench/processes/workload_tables.h"
#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

using processes::StatementReply;

/** The only cell of an answer; empty for anything else. */
std::string CellOf(const StatementReply& reply) {
  const auto* answer = std::get_if<Answered>(&reply.outcome);
  if (answer == nullptr || answer->result.rows.size() != 1) return "";
  return answer->result.rows[0].at(0).value_or("");
}

class ProcessesStatementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesStatementTest);
  CPPUNIT_TEST(SessionSeesItsWritesAtEveryProxy);
  CPPUNIT_TEST(ResendAtAnotherProxyRunsOnce);
  CPPUNIT_TEST(TransactionIsOneWholeAtItsProxy);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SessionSeesItsWritesAtEveryProxy() {
    ProcessCluster cluster("wanjiru");
    const std::size_t count = cluster.Plan().proxies.size();
    std::string token;
    for (std::size_t i = 0; i < count * 10; ++i) {
      const std::string tag = "own-" + std::to_string(i);
      const StatementReply written = cluster.Send(
          i % count,
          cluster.Request(RequestKind::kWrite,
                          processes::InsertSql(processes::kNotesTable),
                          {tag, "caller"}),
          token);
      cluster.Assert("write " + tag,
                     std::holds_alternative<Answered>(written.outcome));
      cluster.Assert("token of " + tag, !written.token.empty());
      token = written.token;
      const StatementReply read = cluster.Send(
          (i + 1) % count,
          cluster.Request(RequestKind::kRead,
                          processes::CountSql(processes::kNotesTable), {tag}),
          token);
      cluster.Assert("read " + tag, CellOf(read) == "1");
      token = read.token;
    }
  }

  void ResendAtAnotherProxyRunsOnce() {
    ProcessCluster cluster("kraanwater");
    StatementRequest request = cluster.Request(
        RequestKind::kWrite, processes::InsertSql(processes::kBookingsTable),
        {"hire-1", "trader"});
    request.request_id = RequestId("hire-1");
    for (std::size_t i = 0; i < cluster.Plan().proxies.size(); ++i) {
      const StatementReply reply = cluster.Send(i, request);
      const auto* answer = std::get_if<Answered>(&reply.outcome);
      cluster.Assert("send " + std::to_string(i), answer != nullptr);
      CPPUNIT_ASSERT_EQUAL(i != 0, answer->repeated);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answer->result.affected_rows);
    }
    const StatementReply count = cluster.Send(
        0, cluster.Request(RequestKind::kRead,
                           processes::CountSql(processes::kBookingsTable),
                           {"hire-1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), CellOf(count));
  }

  void TransactionIsOneWholeAtItsProxy() {
    ProcessCluster cluster("wanjiru");
    for (const RequestKind end :
         {RequestKind::kCommit, RequestKind::kRollback}) {
      const bool commits = end == RequestKind::kCommit;
      const std::string tag = commits ? "committed" : "rolled-back";
      const TransactionId transaction = this->Begin(cluster);
      for (int row = 0; row < 2; ++row) {
        StatementRequest insert = cluster.Request(
            RequestKind::kWrite, processes::InsertSql(processes::kJobsTable),
            {tag, "crew"});
        insert.transaction = transaction;
        cluster.Assert("insert", std::holds_alternative<Answered>(
                                     cluster.Send(0, insert).outcome));
      }
      CPPUNIT_ASSERT_EQUAL(std::string("0"), this->Count(cluster, tag));
      StatementRequest last = cluster.Request(end, "");
      last.transaction = transaction;
      cluster.Assert("end", std::holds_alternative<Answered>(
                                cluster.Send(0, last).outcome));
      CPPUNIT_ASSERT_EQUAL(std::string(commits ? "2" : "0"),
                           this->Count(cluster, tag));
    }
  }

 private:
  TransactionId Begin(ProcessCluster& cluster) {
    const StatementReply reply =
        cluster.Send(0, cluster.Request(RequestKind::kBegin, ""));
    const auto* answer = std::get_if<Answered>(&reply.outcome);
    cluster.Assert("begin", answer != nullptr);
    return answer->transaction;
  }

  std::string Count(ProcessCluster& cluster, const std::string& tag) {
    return CellOf(cluster.Send(
        1, cluster.Request(RequestKind::kRead,
                           processes::CountSql(processes::kJobsTable), {tag})));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesStatementTest);

}  // namespace
}  // namespace lacewingferry::testing
