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
using namespace std::chrono_literals;

steady_clock::time_point At(milliseconds after) {
  return steady_clock::time_point(after);
}

/** A history of one work of two keys that was acknowledged in term 1, told at
 * 100 ms. */
History Whole() {
  History history;
  HistoryWork work;
  work.name = "w";
  work.keys = {"w/a", "w/b"};
  work.told = Told::kAnswered;
  work.term = 1;
  work.told_at = At(100ms);
  history.works.push_back(work);
  history.log.push_back({{"w/a", ValueOf("w/a")}, {"w/b", ValueOf("w/b")}});
  history.promoted_at[1] = At(0ms);
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
  CPPUNIT_TEST(FindsReadsThatMissAWrite);
  CPPUNIT_TEST(FindsWorkForAMemberThatLeft);
  CPPUNIT_TEST(FindsWorkCutByAPlannedStop);
  CPPUNIT_TEST(FindsAConfigurationThatRevertsOrIsMissing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptsAWholeHistory() { CPPUNIT_ASSERT(CheckHistory(Whole()).empty()); }

  void FindsEachBrokenPromise() {
    History lost = Whole();
    lost.log.clear();
    CPPUNIT_ASSERT(Breaks(lost, Promise::kAcknowledgedSurvives));
    History late = Whole();
    late.promoted_at[2] = At(99ms);
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

  void FindsReadsThatMissAWrite() {
    History own = Whole();
    own.works[0].session = "s";
    HistoryRead read{"w/a", std::nullopt, "s", true, std::nullopt, At(101ms)};
    own.reads = {read};
    CPPUNIT_ASSERT(Breaks(own, Promise::kReadYourWrites));
    own.reads[0].sent_at = At(100ms);
    CPPUNIT_ASSERT(CheckHistory(own).empty());
    own.reads[0] = read;
    own.reads[0].session = "another";
    CPPUNIT_ASSERT(CheckHistory(own).empty());
    History old = Whole();
    read.session.clear();
    read.max_age = milliseconds(50);
    read.sent_at = At(151ms);
    old.reads = {read};
    CPPUNIT_ASSERT(Breaks(old, Promise::kStatedAge));
    old.reads[0].sent_at = At(150ms);
    CPPUNIT_ASSERT(CheckHistory(old).empty());
    old.reads[0].by_replica = false;
    CPPUNIT_ASSERT(Breaks(old, Promise::kStatedAge));
  }

  void FindsWorkForAMemberThatLeft() {
    History history = Whole();
    history.leavings = {{"a", At(0ms)}};
    history.uses = {{"b", At(9000ms)}, {"a", At(3000ms)}};
    CPPUNIT_ASSERT(CheckHistory(history).empty());
    history.uses.push_back({"a", At(3001ms)});
    CPPUNIT_ASSERT(Breaks(history, Promise::kNoWorkForLeaving));
  }

  void FindsWorkCutByAPlannedStop() {
    for (const Told told : {Told::kNothing, Told::kUnknown}) {
      History history = Whole();
      history.works[0].told = told;
      CPPUNIT_ASSERT(CheckHistory(history).empty());
      history.planned_stops = 1;
      CPPUNIT_ASSERT(Breaks(history, Promise::kPlannedStopCutsNothing));
    }
  }

  void FindsAConfigurationThatRevertsOrIsMissing() {
    History history = Whole();
    history.accepted = {{1, At(0ms)}, {2, At(1000ms)}};
    history.in_force["p"] = {{1, At(500ms)}, {2, At(9000ms)}};
    history.ended_at = At(9000ms);
    CPPUNIT_ASSERT(CheckHistory(history).empty());
    history.in_force["p"] = {{2, At(1500ms)}, {1, At(1600ms)}};
    CPPUNIT_ASSERT(Breaks(history, Promise::kConfigurationHolds));
    history.in_force["p"] = {{1, At(500ms)}, {2, At(9001ms)}};
    CPPUNIT_ASSERT(Breaks(history, Promise::kConfigurationHolds));
    history.in_force["p"] = {{1, At(500ms)}};
    CPPUNIT_ASSERT(Breaks(history, Promise::kConfigurationHolds));
    history.ended_at = At(8999ms);
    CPPUNIT_ASSERT(CheckHistory(history).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckerTest);

}  // namespace
}  // namespace lacewingferry
