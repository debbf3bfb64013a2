#include "bench/model/history_checker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace lacewingferry {
namespace {

using model::CheckHistory;
using model::History;
using model::HistoryRead;
using model::HistoryWork;
using model::Promise;
using model::Told;
using model::ValueOf;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** A history of one work of two keys that was acknowledged in term 1, told at
 * 100 ms. */
History Whole() {
  History history;
  HistoryWork work;
  work.name = "w";
  work.keys = {"w/a", "w/b"};
  work.told = Told::kAnswered;
  work.term = 1;
  work.told_at = steady_clock::time_point(milliseconds(100));
  history.works.push_back(work);
  history.log.push_back({{"w/a", ValueOf("w/a")}, {"w/b", ValueOf("w/b")}});
  history.promoted_at[1] = steady_clock::time_point();
  return history;
}

/** Whether exactly one promise is found broken, and it is the given one. */
bool Breaks(const History& history, Promise promise) {
  const auto found = CheckHistory(history);
  return found.size() == 1 && found[0].promise == promise;
}

class HistoryCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistoryCheckerTest);
  CPPUNIT_TEST(AcceptsAWholeHistory);
  CPPUNIT_TEST(FindsEachBrokenPromise);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptsAWholeHistory() { CPPUNIT_ASSERT(CheckHistory(Whole()).empty()); }

  void FindsEachBrokenPromise() {
    History lost = Whole();
    lost.log.clear();
    CPPUNIT_ASSERT(Breaks(lost, Promise::kAcknowledgedSurvives));
    History late = Whole();
    late.promoted_at[2] = steady_clock::time_point(milliseconds(99));
    CPPUNIT_ASSERT(Breaks(late, Promise::kNoAnswerByReplaced));
    History mixed = Whole();
    mixed.log[0].push_back({"x/a", ValueOf("x/a")});
    CPPUNIT_ASSERT(Breaks(mixed, Promise::kTransactionsDontMix));
    History refused = Whole();
    refused.works[0].told = Told::kNotRun;
    CPPUNIT_ASSERT(Breaks(refused, Promise::kNotRunIsTrue));
    History twice = Whole();
    twice.log.push_back(twice.log[0]);
    CPPUNIT_ASSERT(Breaks(twice, Promise::kAtMostOnce));
    History crossed = Whole();
    crossed.reads.push_back(HistoryRead{"w/a", ValueOf("w/b")});
    CPPUNIT_ASSERT(Breaks(crossed, Promise::kAnswerIsWhole));
    History vanished = Whole();
    vanished.reads.push_back(HistoryRead{"x/a", ValueOf("x/a")});
    CPPUNIT_ASSERT(Breaks(vanished, Promise::kReadsDontVanish));
    History crowded = Whole();
    crowded.turned_away = 1;
    CPPUNIT_ASSERT(Breaks(crowded, Promise::kSlots));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckerTest);

}  // namespace
}  // namespace lacewingferry
