#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

#include "lacewingferry/decisions/freshness/position_sampler.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

steady_clock::time_point At(int ms) {
  return steady_clock::time_point() + std::chrono::seconds(1000) +
         milliseconds(ms);
}

/** An owner of a primary's connection and a proxy that asks it, whose clocks
 * are this far apart. */
class Pair {
 public:
  explicit Pair(milliseconds clock_offset)
      : offset(clock_offset),
        asker(DatabaseId("permit-db-1"), this->AskerHooks(), 0),
        owner(DatabaseId("permit-db-1"), this->OwnerHooks(), 0) {
    this->asker.SetPrimaryOwners({NodeId("nh-a-proxy-1")});
  }

  void Observe(int ms, std::uint64_t at) {
    this->owner.OnPrimaryPosition(At(ms) + this->offset, {1, at});
  }

  /** Asks at one time, and the question and the answer take this long. */
  void Exchange(int ms, int there, int back, std::uint64_t at) {
    this->asker.Want(At(ms), milliseconds(8000));
    this->owner.OnProbe(At(ms + there) + this->offset, NodeId("gl-a-proxy-1"),
                        this->question);
    this->Observe(ms + there, at);
    this->now = ms + there + back;
    this->asker.OnSample(this->answer);
  }

  std::optional<steady_clock::time_point> Complete(std::uint64_t at) const {
    return this->asker.Samples().CompleteUntil({1, at});
  }

  milliseconds Lacking() const { return this->question.lacking; }
  std::size_t Told() const { return this->answer.lower_by.size(); }

 private:
  PositionSamplerHooks AskerHooks() {
    return {[this](const NodeId&, const ProbedDatabase& asked) {
              this->question = asked;
            },
            [](const NodeId&, const SampledPosition&) {},
            [](steady_clock::time_point) { return false; }};
  }
  PositionSamplerHooks OwnerHooks() {
    return {[](const NodeId&, const ProbedDatabase&) {},
            [this](const NodeId&, const SampledPosition& told) {
              this->answer = told;
            },
            [](steady_clock::time_point) { return true; }};
  }

  milliseconds offset;
  int now = 0;
  ProbedDatabase question;
  SampledPosition answer;
  PositionSampler asker;
  PositionSampler owner;
};

class PositionHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PositionHistoryTest);
  CPPUNIT_TEST(TheFirstAnswerProvesThePast);
  CPPUNIT_TEST(TellsOnlyWhatTheAskerLacks);
  CPPUNIT_TEST(NeverProvesMoreThanTheTruth);
  CPPUNIT_TEST_SUITE_END();

 public:
  /** A replica that lags by 3 s can be judged by a proxy that just started. */
  void TheFirstAnswerProvesThePast() {
    Pair pair{milliseconds(7000)};
    for (std::uint64_t i = 0; i <= 50; ++i) {
      pair.Observe(static_cast<int>(i) * 100, i + 1);
    }
    pair.Exchange(5050, 20, 20, 52);
    const auto complete = pair.Complete(21);
    CPPUNIT_ASSERT(complete);
    CPPUNIT_ASSERT(*complete <= At(2099));
    CPPUNIT_ASSERT(*complete >= At(1500));
  }

  void TellsOnlyWhatTheAskerLacks() {
    Pair pair{milliseconds(-300)};
    for (std::uint64_t i = 0; i <= 200; ++i) {
      pair.Observe(static_cast<int>(i) * 10, i + 1);
    }
    pair.Exchange(2010, 20, 20, 202);
    pair.Exchange(3100, 20, 20, 203);
    CPPUNIT_ASSERT(pair.Lacking() == milliseconds(1090));
    CPPUNIT_ASSERT(pair.Told() <= 66);
  }

  /** The position of each moment is known; no delay and no distance of the
   * clocks may make a proof that is newer than the truth. */
  void NeverProvesMoreThanTheTruth() {
    CPPUNIT_ASSERT(rc::check([](std::int16_t apart) {
      Pair pair{milliseconds(apart)};
      std::vector<int> passed{0};
      int time = 0;
      const int steps = *rc::gen::inRange(2, 80);
      for (int i = 0; i < steps; ++i) {
        time += *rc::gen::inRange(1, 200);
        passed.push_back(time);
        pair.Observe(time, passed.size() - 1);
        if (*rc::gen::inRange(0, 4) > 0) continue;
        const int there = *rc::gen::inRange(0, 60);
        const int back = *rc::gen::inRange(0, 60);
        pair.Exchange(time, there, back, passed.size() - 1);
        time += there + back;
      }
      for (std::size_t at = 0; at + 1 < passed.size(); ++at) {
        const auto proven = pair.Complete(at);
        // The next position was passed at the time that its place tells.
        if (proven) RC_ASSERT(*proven < At(passed[at + 1]));
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PositionHistoryTest);

}  // namespace
}  // namespace lacewingferry
