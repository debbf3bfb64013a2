#include <cppunit/extensions/HelperMacros.h>

#include "bench/processes/workload_tables.h"
#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

using processes::MeterRecord;
using processes::RunRecord;
using processes::RunVerdict;
using processes::WriteFate;
using processes::WriteRecord;
using std::chrono::steady_clock;

/** Shows that the checker of the other tests sees each broken promise. */
class ProcessesCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesCheckerTest);
  CPPUNIT_TEST(SeesEachBrokenPromise);
  CPPUNIT_TEST(SeesAReplacedPrimary);
  CPPUNIT_TEST(AllowsAReplacedPrimaryThatLeadsAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SeesEachBrokenPromise() {
    ProcessCluster cluster("kraanwater");
    this->Insert(cluster, "once", 1);
    this->Insert(cluster, "twice", 2);
    RunRecord record;
    this->Expect(cluster, record, nullptr);
    record.writes = {this->Write(cluster, "once", WriteFate::kAcknowledged)};
    this->Expect(cluster, record, nullptr);
    record.writes = {this->Write(cluster, "absent", WriteFate::kNotRun)};
    this->Expect(cluster, record, nullptr);
    record.writes = {this->Write(cluster, "absent", WriteFate::kUnknown)};
    this->Expect(cluster, record, nullptr);

    record.writes = {this->Write(cluster, "absent", WriteFate::kAcknowledged)};
    this->Expect(cluster, record, &RunVerdict::lost);
    record.writes = {this->Write(cluster, "twice", WriteFate::kAcknowledged)};
    this->Expect(cluster, record, &RunVerdict::doubled);
    record.writes = {this->Write(cluster, "once", WriteFate::kNotRun)};
    this->Expect(cluster, record, &RunVerdict::ran_though_refused);
    record.writes = {this->Write(cluster, "once", WriteFate::kRolledBack)};
    this->Expect(cluster, record, &RunVerdict::ran_though_refused);
    record.writes = {this->Write(cluster, "twice", WriteFate::kUnknown, 3)};
    this->Expect(cluster, record, &RunVerdict::mixed_transactions);
    record.writes.clear();
    record.meters = {MeterRecord{cluster.Database(), "meter", 1, 2}};
    this->Expect(cluster, record, &RunVerdict::lost);
  }

  // The old primary acknowledges a write that was sent after its successor's
  // first.
  void SeesAReplacedPrimary() {
    ProcessCluster cluster("kraanwater");
    const ReplacedPrimary run = this->Replace(cluster);
    for (const int sent : {600, 800}) {
      const RunVerdict verdict =
          run.Judge(cluster, std::chrono::milliseconds(sent), {});
      CPPUNIT_ASSERT_EQUAL(std::int64_t{700},
                           std::int64_t{verdict.gaps.at(0).length->count()});
      const std::uint64_t expected = sent > 700 ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(expected, verdict.by_replaced_primary);
    }
  }

  // Control took a successor for lost without a failure that the run made, and
  // the old primary was promoted again.
  void AllowsAReplacedPrimaryThatLeadsAgain() {
    ProcessCluster cluster("kraanwater");
    const ReplacedPrimary run = this->Replace(cluster);
    const MemberId replaced("replaced");
    const auto promoted = [&](int at) {
      return processes::MemberPromotion{
          replaced, run.start + std::chrono::milliseconds(at)};
    };
    // It led before it was replaced, after the write, or just before it.
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(1),
        run.Judge(cluster, std::chrono::milliseconds(800), {promoted(-5000)})
            .by_replaced_primary);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(1),
        run.Judge(cluster, std::chrono::milliseconds(800), {promoted(1000)})
            .by_replaced_primary);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(0),
        run.Judge(cluster, std::chrono::milliseconds(800), {promoted(750)})
            .by_replaced_primary);
  }

 private:
  /** A failure at the start, a write that the successor acknowledges after 700
   * ms, and one that the replaced primary acknowledges after 900 ms. */
  struct ReplacedPrimary {
    steady_clock::time_point start;
    RunRecord record;

    RunVerdict Judge(const ProcessCluster& cluster,
                     std::chrono::milliseconds old_sent,
                     std::vector<processes::MemberPromotion> promotions) const {
      RunRecord judged = this->record;
      judged.writes[1].sent = this->start + old_sent;
      return processes::CheckRun(
          cluster.Plan(), judged,
          {{{cluster.Database(), MemberId("replaced"), this->start}},
           std::move(promotions)},
          kProcessDeadline);
    }
  };

  ReplacedPrimary Replace(ProcessCluster& cluster) {
    this->Insert(cluster, "new", 1);
    this->Insert(cluster, "old", 1);
    ReplacedPrimary run{steady_clock::now(), {}};
    WriteRecord by_new = this->Write(cluster, "new", WriteFate::kAcknowledged);
    by_new.served_by = MemberId("successor");
    by_new.answered = run.start + std::chrono::milliseconds(700);
    WriteRecord by_old = this->Write(cluster, "old", WriteFate::kAcknowledged);
    by_old.served_by = MemberId("replaced");
    by_old.answered = run.start + std::chrono::milliseconds(900);
    run.record.writes = {by_new, by_old};
    return run;
  }

  void Insert(ProcessCluster& cluster, const std::string& tag, int rows) {
    for (int i = 0; i < rows; ++i) {
      const auto reply = cluster.Send(
          0, cluster.Request(RequestKind::kWrite,
                             processes::InsertSql(processes::kNotesTable),
                             {tag, "caller"}));
      cluster.Assert("insert", std::holds_alternative<Answered>(reply.outcome));
    }
  }

  WriteRecord Write(const ProcessCluster& cluster, const std::string& tag,
                    WriteFate fate, std::uint32_t rows = 1) {
    WriteRecord write;
    write.database = cluster.Database();
    write.table = processes::kNotesTable;
    write.tag = tag;
    write.rows = rows;
    write.fate = fate;
    return write;
  }

  /** Expects one broken promise of that kind; none for null. */
  void Expect(const ProcessCluster& cluster, const RunRecord& record,
              std::uint64_t RunVerdict::*broken) {
    const RunVerdict verdict =
        processes::CheckRun(cluster.Plan(), record, {}, kProcessDeadline);
    CPPUNIT_ASSERT_EQUAL(broken == nullptr, verdict.Kept());
    if (broken == nullptr) return;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, verdict.*broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdict.broken.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesCheckerTest);

}  // namespace
}  // namespace lacewingferry::testing
