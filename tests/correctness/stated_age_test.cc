#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>

#include "bench/model/fleet.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/** A proxy in the zone of a replica. */
constexpr std::size_t kNearReplica = 5;
constexpr seconds kMaxAge{3};

class StatedAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatedAgeTest);
  CPPUNIT_TEST(BoundGrowsWhileThePrimaryIsUnreachable);
  CPPUNIT_TEST(OwnerWithoutALeaseProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BoundGrowsWhileThePrimaryIsUnreachable() {
    model::EventQueue queue;
    model::Fleet fleet(queue, model::KraanwaterOptions());
    queue.RunUntil(queue.Now() + seconds(1));
    CPPUNIT_ASSERT(std::holds_alternative<Answered>(Read(queue, fleet)));
    Isolate(fleet);
    const auto cut_at = queue.Now();
    while (queue.Now() - cut_at < kMaxAge - milliseconds(500)) {
      queue.RunUntil(queue.Now() + milliseconds(300));
      const Outcome outcome = Read(queue, fleet);
      const auto* answer = std::get_if<Answered>(&outcome);
      CPPUNIT_ASSERT(answer != nullptr && answer->served_by_replica);
      CPPUNIT_ASSERT(answer->age_bound);
      const auto since = queue.Now() - cut_at;
      CPPUNIT_ASSERT(*answer->age_bound + milliseconds(10) >= since);
      CPPUNIT_ASSERT(*answer->age_bound <= kMaxAge);
    }
    queue.RunUntil(queue.Now() + seconds(1));
    const Outcome outcome = Read(queue, fleet);
    const auto* refusal = std::get_if<NotRun>(&outcome);
    CPPUNIT_ASSERT(refusal != nullptr);
  }

  void OwnerWithoutALeaseProvesNothing() {
    model::EventQueue queue;
    model::Fleet fleet(queue, model::KraanwaterOptions());
    for (std::size_t i = 0; i < fleet.ProxyCount(); ++i) {
      fleet.Shard(i).OnLease(queue.Now(), queue.Now());
    }
    queue.RunUntil(queue.Now() + seconds(1));
    CPPUNIT_ASSERT(std::holds_alternative<NotRun>(Read(queue, fleet)));
  }

 private:
  static void Isolate(model::Fleet& fleet) {
    const auto& zones = fleet.Options().zones;
    fleet.Net().SetCut(zones[0], zones[1], true);
    fleet.Net().SetCut(zones[0], zones[2], true);
  }

  static Outcome Read(model::EventQueue& queue, model::Fleet& fleet) {
    StatementRequest request;
    request.database = fleet.Database();
    request.statement = {"GET", {SqlValue("key")}};
    request.max_age = kMaxAge;
    request.timeout = milliseconds(500);
    std::optional<Outcome> outcome;
    fleet.Submit(kNearReplica, request,
                 [&outcome](const Outcome& reply) { outcome = reply; });
    const auto limit = queue.Now() + seconds(2);
    while (!outcome && queue.Now() < limit) {
      queue.RunUntil(queue.Now() + milliseconds(1));
    }
    CPPUNIT_ASSERT(outcome);
    return *outcome;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatedAgeTest);

}  // namespace
}  // namespace lacewingferry
