#include "lacewingferry/decisions/gateway/waiting_order.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

RunPtr MakeRun(const std::string& customer, milliseconds deadline,
               std::uint32_t priority = 1,
               std::uint32_t customer_priority = 0) {
  auto run = std::make_shared<StatementRun>();
  run->customer = CustomerId(customer);
  run->customer_priority = customer_priority;
  run->priority = priority;
  run->deadline = steady_clock::time_point() + deadline;
  return run;
}

std::string Names(const std::vector<RunPtr>& runs) {
  std::string names;
  for (const RunPtr& run : runs) names += run->customer.Value();
  return names;
}

class WaitingOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingOrderTest);
  CPPUNIT_TEST(LargeCustomerDelaysOthersByOneStatementAtATime);
  CPPUNIT_TEST(UrgentRoutesGoFirst);
  CPPUNIT_TEST(UrgentCustomersGoFirstWithinATurn);
  CPPUNIT_TEST(WithoutCustomersTheDeadlineDecides);
  CPPUNIT_TEST(PlaceIsCountedAsSorted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // One customer sends many times its usual, two others as always.
  void LargeCustomerDelaysOthersByOneStatementAtATime() {
    std::vector<RunPtr> waiting;
    waiting.reserve(8);
    for (int i = 0; i < 5; ++i)
      waiting.push_back(MakeRun("L", milliseconds(100 + i)));
    waiting.push_back(MakeRun("a", milliseconds(200)));
    waiting.push_back(MakeRun("b", milliseconds(201)));
    waiting.push_back(MakeRun("b", milliseconds(202)));
    SortFairly(&waiting);
    CPPUNIT_ASSERT_EQUAL(std::string("LabLbLLL"), Names(waiting));
  }

  void UrgentRoutesGoFirst() {
    std::vector<RunPtr> waiting = {MakeRun("a", milliseconds(100), 2),
                                   MakeRun("b", milliseconds(300), 0),
                                   MakeRun("b", milliseconds(301), 0)};
    SortFairly(&waiting);
    CPPUNIT_ASSERT_EQUAL(std::string("bba"), Names(waiting));
  }

  void UrgentCustomersGoFirstWithinATurn() {
    std::vector<RunPtr> waiting = {MakeRun("a", milliseconds(100), 1, 2),
                                   MakeRun("a", milliseconds(101), 1, 2),
                                   MakeRun("b", milliseconds(300), 1, 0),
                                   MakeRun("b", milliseconds(301), 1, 0)};
    SortFairly(&waiting);
    CPPUNIT_ASSERT_EQUAL(std::string("baba"), Names(waiting));
  }

  void WithoutCustomersTheDeadlineDecides() {
    std::vector<RunPtr> waiting = {
        MakeRun("", milliseconds(300)), MakeRun("", milliseconds(100)),
        MakeRun("", milliseconds(400), 0), MakeRun("", milliseconds(200))};
    SortFairly(&waiting);
    CPPUNIT_ASSERT(
        std::is_sorted(waiting.begin(), waiting.end(), ServedBefore));
  }

  void PlaceIsCountedAsSorted() {
    std::vector<RunPtr> waiting;
    unsigned state = 7;
    for (int i = 0; i < 60; ++i) {
      state = state * 1664525U + 1013904223U;
      const RunPtr run =
          MakeRun(std::string(1, static_cast<char>('a' + (state >> 20U) % 5)),
                  milliseconds((state >> 8U) % 500), (state >> 4U) % 3);
      const std::size_t place = CountServedBefore(waiting, run);
      waiting.push_back(run);
      SortFairly(&waiting);
      CPPUNIT_ASSERT(waiting[place] == run);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingOrderTest);

}  // namespace
}  // namespace lacewingferry
