#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <random>
#include <string>

#include "bench/model/fleet.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** What a run of random faults did to the members. */
struct SlotCounts {
  /** Connections above a member's slots that it had to turn away. */
  std::size_t turned_away = 0;
  /** Connections to all members once all proxies live again. */
  std::size_t at_rest = 0;
};

model::FleetOptions WithSeats(model::FleetOptions options, bool seats) {
  options.seats = seats;
  options.clock_drift = 0.01;
  options.group.notice_delay = milliseconds(50);
  return options;
}

/** Kills, restarts and cuts off proxies at random for a time. */
SlotCounts RunFaults(const model::FleetOptions& options, std::uint64_t seed) {
  model::EventQueue queue;
  model::Fleet fleet(queue, options);
  std::mt19937_64 random(seed);
  const MemberId primary = fleet.MemberName(0);
  for (int step = 0; step < 40; ++step) {
    queue.RunUntil(queue.Now() + milliseconds(1 + random() % 600));
    const std::size_t proxy = random() % fleet.ProxyCount();
    if (!fleet.Alive(proxy)) {
      fleet.StartProxy(proxy);
    } else if (random() % 3 == 0) {
      fleet.CutProxy(proxy, random() % 2 == 0);
    } else {
      fleet.KillProxy(proxy);
    }
    fleet.Publish(1, primary);
  }
  for (std::size_t i = 0; i < fleet.ProxyCount(); ++i) {
    fleet.CutProxy(i, false);
    if (!fleet.Alive(i)) fleet.StartProxy(i);
  }
  fleet.Publish(1, primary);
  queue.RunUntil(queue.Now() + seconds(5));
  SlotCounts counts{fleet.Group().TurnedAway(), 0};
  for (const auto& member : fleet.Group().Members()) {
    counts.at_rest += fleet.Group().OpenConnections(member.first);
  }
  return counts;
}

class SlotHandoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotHandoverTest);
  CPPUNIT_TEST(NeverExceedsTheSlotsAndUsesThemAllAtRest);
  CPPUNIT_TEST(ExceedsThemWhereSharesFollowTheViewAlone);
  CPPUNIT_TEST(ExceedsThemWhereNoTimeIsLeftToNotice);
  CPPUNIT_TEST(TakesOverWithinTheGrantAfterADeath);
  CPPUNIT_TEST(UsesAllSlotsSoonAfterAFreshStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NeverExceedsTheSlotsAndUsesThemAllAtRest() {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      for (const bool wanjiru : {false, true}) {
        const auto base =
            wanjiru ? model::WanjiruOptions() : model::KraanwaterOptions();
        const SlotCounts counts = RunFaults(WithSeats(base, true), seed);
        const std::string where = "seed " + std::to_string(seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::size_t{0}, counts.turned_away);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::size_t{base.slots} * 3,
                                     counts.at_rest);
      }
    }
  }

  void ExceedsThemWhereSharesFollowTheViewAlone() {
    std::size_t turned_away = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      turned_away +=
          RunFaults(WithSeats(model::KraanwaterOptions(), false), seed)
              .turned_away;
    }
    CPPUNIT_ASSERT(turned_away > 0);
  }

  void ExceedsThemWhereNoTimeIsLeftToNotice() {
    std::size_t turned_away = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      auto options = WithSeats(model::KraanwaterOptions(), true);
      options.seat_timings.margin = milliseconds(0);
      options.group.notice_delay = milliseconds(1200);
      turned_away += RunFaults(options, seed).turned_away;
    }
    CPPUNIT_ASSERT(turned_away > 0);
  }

  void TakesOverWithinTheGrantAfterADeath() {
    model::EventQueue queue;
    const auto options = WithSeats(model::KraanwaterOptions(), true);
    model::Fleet fleet(queue, options);
    queue.RunUntil(queue.Now() + seconds(3));
    for (std::size_t i = 0; i < options.proxies_per_zone; ++i) {
      const bool owner =
          fleet.Shard(i).Connections(fleet.Database(), fleet.MemberName(0)) > 0;
      if (!owner) continue;
      fleet.KillProxy(i);
      break;
    }
    fleet.Publish(1, fleet.MemberName(0));
    const auto died = queue.Now();
    queue.RunUntil(died + milliseconds(100));
    CPPUNIT_ASSERT(fleet.Group().OpenConnections(fleet.MemberName(0)) > 0);
    while (fleet.Group().OpenConnections(fleet.MemberName(0)) < options.slots) {
      queue.RunUntil(queue.Now() + milliseconds(10));
      CPPUNIT_ASSERT(queue.Now() - died < seconds(5));
    }
    const auto gap =
        std::chrono::duration_cast<milliseconds>(queue.Now() - died);
    std::cerr << "all slots in use again after " << gap.count() << " ms\n";
    CPPUNIT_ASSERT(gap <= options.seat_timings.grant +
                              2 * options.seat_timings.renewal +
                              milliseconds(50));
  }

  void UsesAllSlotsSoonAfterAFreshStart() {
    for (const bool wanjiru : {false, true}) {
      model::EventQueue queue;
      const auto options = WithSeats(
          wanjiru ? model::WanjiruOptions() : model::KraanwaterOptions(), true);
      const auto started = queue.Now();
      model::Fleet fleet(queue, options);
      for (std::size_t member = 0; member < options.zones.size(); ++member) {
        const MemberId id = fleet.MemberName(member);
        while (fleet.Group().OpenConnections(id) < options.slots) {
          queue.RunUntil(queue.Now() + milliseconds(10));
          CPPUNIT_ASSERT(queue.Now() - started < seconds(5));
        }
      }
      const auto gap =
          std::chrono::duration_cast<milliseconds>(queue.Now() - started);
      std::cerr << "all slots in use " << gap.count() << " ms after a start\n";
      // Witnesses that just started are silent for the time of a grant.
      CPPUNIT_ASSERT(gap <= options.seat_timings.grant + milliseconds(500));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotHandoverTest);

}  // namespace
}  // namespace lacewingferry
