#include "lacewingferry/adapters/histogram/request_metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

class RequestMetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestMetricsTest);
  CPPUNIT_TEST(CountsReadsByWhoServedThem);
  CPPUNIT_TEST(BucketsAreCumulative);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsReadsByWhoServedThem() {
    RequestMetrics metrics;
    Answered by_replica;
    by_replica.served_by_replica = true;
    metrics.Record(RequestKind::kRead, by_replica, milliseconds(2));
    metrics.Record(RequestKind::kRead, Answered{}, milliseconds(2));
    metrics.Record(RequestKind::kRead, by_replica, milliseconds(2));
    const std::string text = metrics.Format();
    this->AssertContains(text, "ferry_reads_total{served_by=\"replica\"} 2\n");
    this->AssertContains(text, "ferry_reads_total{served_by=\"primary\"} 1\n");
  }

  void BucketsAreCumulative() {
    RequestMetrics metrics;
    metrics.Record(RequestKind::kWrite, Answered{}, milliseconds(0));
    metrics.Record(RequestKind::kWrite, NotRun{}, milliseconds(5));
    metrics.Record(RequestKind::kWrite, UnknownOutcome{}, milliseconds(60000));
    const std::string text = metrics.Format();
    this->AssertContains(
        text, "ferry_request_seconds_bucket{kind=\"write\",le=\"+Inf\"} 3\n");
    this->AssertContains(
        text, "ferry_request_seconds_bucket{kind=\"write\",le=\"10\"} 2\n");
    this->AssertContains(
        text, "ferry_requests_total{kind=\"write\",outcome=\"unknown\"} 1\n");
  }

 private:
  void AssertContains(const std::string& text, const std::string& part) {
    CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestMetricsTest);

}  // namespace
}  // namespace lacewingferry
