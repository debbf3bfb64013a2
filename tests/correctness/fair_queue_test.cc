#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <string>

#include "lacewingferry/decisions/limits/job_queue.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using namespace std::chrono_literals;

Job MakeJob(const std::string& customer, const std::string& session,
            RequestKind kind, milliseconds deadline) {
  Job job;
  job.request.customer = CustomerId(customer);
  job.request.session = SessionId(session);
  job.request.kind = kind;
  job.deadline = steady_clock::time_point(deadline);
  return job;
}

Job MakeWrite(const std::string& customer, const std::string& session,
              milliseconds deadline = 100ms) {
  return MakeJob(customer, session, RequestKind::kWrite, deadline);
}

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(CustomersTakeTurns);
  CPPUNIT_TEST(TheSessionServedLongestAgoGoesFirst);
  CPPUNIT_TEST(TheEarliestDeadlineOfASessionGoesFirst);
  CPPUNIT_TEST(WritesTakeThreeTurnsOfFour);
  CPPUNIT_TEST(AFullQueueDropsTheLatestOfTheLargestCustomer);
  CPPUNIT_TEST(CountsWhatIsServedBeforeANewJob);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CustomersTakeTurns() {
    FairQueue queue;
    for (int i = 0; i < 10; ++i) {
      queue.Push(MakeWrite("big", "s" + std::to_string(i)));
    }
    queue.Push(MakeWrite("small", "x"));
    queue.Pop();
    CPPUNIT_ASSERT(queue.Pop()->request.customer == CustomerId("small"));
  }

  void TheSessionServedLongestAgoGoesFirst() {
    FairQueue queue;
    queue.Push(MakeWrite("c", "first"));
    queue.Pop();
    queue.Push(MakeWrite("c", "first"));
    queue.Push(MakeWrite("c", "second"));
    CPPUNIT_ASSERT(queue.Pop()->request.session == SessionId("second"));
  }

  void TheEarliestDeadlineOfASessionGoesFirst() {
    FairQueue queue;
    queue.Push(MakeWrite("c", "s", 300ms));
    queue.Push(MakeWrite("c", "s", 200ms));
    CPPUNIT_ASSERT(queue.Pop()->deadline ==
                   steady_clock::time_point(milliseconds(200)));
    CPPUNIT_ASSERT(*queue.NextDeadline() ==
                   steady_clock::time_point(milliseconds(300)));
  }

  void WritesTakeThreeTurnsOfFour() {
    JobQueue queue;
    for (int i = 0; i < 100; ++i) {
      queue.Push(MakeWrite("c", "w"));
      queue.Push(MakeJob("c", "r", RequestKind::kRead, 100ms));
    }
    int reads = 0;
    for (int i = 0; i < 80; ++i) {
      if (queue.Pop()->request.kind == RequestKind::kRead) ++reads;
    }
    CPPUNIT_ASSERT_EQUAL(20, reads);
  }

  void AFullQueueDropsTheLatestOfTheLargestCustomer() {
    JobQueue queue;
    std::optional<Job> displaced;
    int pushed = 0;
    while (!displaced) {
      displaced = queue.Push(MakeWrite("big", "s", milliseconds(++pushed)));
    }
    CPPUNIT_ASSERT(displaced->deadline ==
                   steady_clock::time_point(milliseconds(pushed)));
    displaced = queue.Push(MakeWrite("small", "x"));
    CPPUNIT_ASSERT(displaced->request.customer == CustomerId("big"));
  }

  void CountsWhatIsServedBeforeANewJob() {
    FairQueue queue;
    for (int i = 0; i < 50; ++i) queue.Push(MakeWrite("big", "s"));
    queue.Push(MakeWrite("other", "x"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         queue.CountAhead(MakeWrite("small", "y")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{51},
                         queue.CountAhead(MakeWrite("big", "s", 200ms)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

}  // namespace
}  // namespace lacewingferry
