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

/** A proxy that owns a connection to the primary and a proxy that probes it,
 * with clocks this far apart. */
class Pair {
 public:
  explicit Pair(milliseconds clock_offset)
      : offset(clock_offset),
        asker(DatabaseId("permit-db-1"), this->AskerHooks(), 0),
        owner(DatabaseId("permit-db-1"), this->OwnerHooks(), 0) {
    this->asker.SetPrimaryOwners({NodeId("nh-a-proxy-1")});
  }

  void RecordPosition(int ms, std::uint64_t at) {
    this->owner.OnPrimaryPosition(At(ms) + this->offset, {1, at});
  }

  /** Sends a probe at a time; the probe and its answer take the given times. */
  void ProbeOwner(int ms, int probe_delay, int answer_delay, std::uint64_t at) {
    this->asker.RequestSamples(At(ms), milliseconds(8000));
    this->owner.OnProbe(At(ms + probe_delay) + this->offset,
                        NodeId("gl-a-proxy-1"), this->probe);
    this->RecordPosition(ms + probe_delay, at);
    this->now = ms + probe_delay + answer_delay;
    this->asker.OnSample(this->answer);
  }

  std::optional<steady_clock::time_point> CompleteUntil(
      std::uint64_t at) const {
    return this->asker.Samples().CompleteUntil({1, at});
  }

  milliseconds Lacking() const { return this->probe.lacking; }
  std::size_t EarlierSampleCount() const {
    return this->answer.lower_by.size();
  }

 private:
  PositionSamplerHooks AskerHooks() {
    return {[this](const NodeId&, const ProbedDatabase& sent) {
              this->probe = sent;
            },
            [](const NodeId&, const SampledPosition&) {},
            [](steady_clock::time_point) { return false; }};
  }
  PositionSamplerHooks OwnerHooks() {
    return {[](const NodeId&, const ProbedDatabase&) {},
            [this](const NodeId&, const SampledPosition& sample) {
              this->answer = sample;
            },
            [](steady_clock::time_point) { return true; }};
  }

  milliseconds offset;
  int now = 0;
  ProbedDatabase probe;
  SampledPosition answer;
  PositionSampler asker;
  PositionSampler owner;
};

class PositionHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PositionHistoryTest);
  CPPUNIT_TEST(TheFirstAnswerCoversThePast);
  CPPUNIT_TEST(ReportsOnlyWhatTheAskerLacks);
  CPPUNIT_TEST(NeverProvesALaterTimeThanTheTrueOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  /** A proxy that has just started can judge a replica that lags by 3 s. */
  void TheFirstAnswerCoversThePast() {
    Pair pair{milliseconds(7000)};
    for (std::uint64_t i = 0; i <= 50; ++i) {
      pair.RecordPosition(static_cast<int>(i) * 100, i + 1);
    }
    pair.ProbeOwner(5050, 20, 20, 52);
    const auto complete = pair.CompleteUntil(21);
    CPPUNIT_ASSERT(complete);
    CPPUNIT_ASSERT(*complete <= At(2099));
    CPPUNIT_ASSERT(*complete >= At(1500));
  }

  void ReportsOnlyWhatTheAskerLacks() {
    Pair pair{milliseconds(-300)};
    for (std::uint64_t i = 0; i <= 200; ++i) {
      pair.RecordPosition(static_cast<int>(i) * 10, i + 1);
    }
    pair.ProbeOwner(2010, 20, 20, 202);
    pair.ProbeOwner(3100, 20, 20, 203);
    CPPUNIT_ASSERT(pair.Lacking() == milliseconds(1090));
    CPPUNIT_ASSERT(pair.EarlierSampleCount() <= 66);
  }

  /** The position at each time is known. No delay or clock difference may lead
   * to a proof of a time later than the true one. */
  void NeverProvesALaterTimeThanTheTrueOne() {
    CPPUNIT_ASSERT(rc::check([](std::int16_t clock_offset) {
      Pair pair{milliseconds(clock_offset)};
      std::vector<int> passed{0};
      int time = 0;
      const int steps = *rc::gen::inRange(2, 80);
      for (int i = 0; i < steps; ++i) {
        time += *rc::gen::inRange(1, 200);
        passed.push_back(time);
        pair.RecordPosition(time, passed.size() - 1);
        if (*rc::gen::inRange(0, 4) > 0) continue;
        const int probe_delay = *rc::gen::inRange(0, 60);
        const int answer_delay = *rc::gen::inRange(0, 60);
        pair.ProbeOwner(time, probe_delay, answer_delay, passed.size() - 1);
        time += probe_delay + answer_delay;
      }
      for (std::size_t at = 0; at + 1 < passed.size(); ++at) {
        const auto proven = pair.CompleteUntil(at);
        // passed[at + 1] is when the primary passed to the next position.
        if (proven) RC_ASSERT(*proven < At(passed[at + 1]));
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PositionHistoryTest);

}  // namespace
}  // namespace lacewingferry
