#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <random>

#include "bench/model/read_workload.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr std::uint64_t kRuns = 6;
constexpr int kChangesOfPrimary = 5;
constexpr milliseconds kBetweenChanges{3000};
/** The cut between the primary and a replica lasts this long before the
 * change, so that the primary has a tail that no majority holds. */
constexpr milliseconds kCut{200};

/** Callers that roam while the primary changes again and again. */
class FailoverRun {
 public:
  explicit FailoverRun(std::uint64_t seed) : random(seed) {
    model::FleetOptions options = model::WanjiruOptions();
    options.slots = 5;
    options.group.service_time = [](const MemberBatch&) {
      return milliseconds(2);
    };
    options.group.apply_lag = [this](const MemberId&) {
      return nanoseconds(milliseconds(this->random() % 300));
    };
    this->fleet = std::make_unique<model::Fleet>(this->queue, options);
    model::ReadWorkloadHooks hooks;
    hooks.submit = [this](std::size_t proxy, StatementRequest request,
                          ReplyHook reply) {
      request.database = this->fleet->Database();
      this->fleet->Submit(proxy, request, std::move(reply));
    };
    hooks.members = [this]() -> const std::map<MemberId, model::FakeMember>& {
      return this->fleet->Group().Members();
    };
    hooks.latency = [](const model::FakeMember&, std::size_t) {
      return nanoseconds(0);
    };
    model::ReadWorkloadOptions workload_options;
    workload_options.callers = 40;
    workload_options.judge_ages = false;
    this->workload = std::make_unique<model::ReadWorkload>(
        this->queue, hooks, workload_options, seed);
  }

  model::ReadWorkloadResult Run() {
    this->workload->Start(this->queue.Now() +
                          kBetweenChanges * (kChangesOfPrimary + 1));
    for (int i = 0; i < kChangesOfPrimary; ++i) {
      this->queue.RunUntil(this->queue.Now() + kBetweenChanges - kCut);
      this->ChangePrimary();
    }
    this->queue.RunUntil(this->queue.Now() + kBetweenChanges * 4);
    return this->workload->Result();
  }

 private:
  const AvailabilityZone& Zone(std::size_t member) const {
    return this->fleet->Options().zones[member];
  }

  /** Cuts the primary off, fences the other two, promotes the one with the
   * longer log, and lets the old primary follow later. */
  void ChangePrimary() {
    const std::size_t old = this->primary;
    const std::size_t a = (old + 1) % 3;
    const std::size_t b = (old + 2) % 3;
    this->fleet->Net().SetCut(this->Zone(old), this->Zone(a), true);
    this->fleet->Net().SetCut(this->Zone(old), this->Zone(b), true);
    this->queue.RunUntil(this->queue.Now() + kCut);
    for (std::size_t i = 0; i < this->fleet->ProxyCount(); ++i) {
      this->fleet->Shard(i).ReleaseTerm(this->queue.Now(),
                                        this->fleet->Database(), this->term);
    }
    ++this->term;
    model::FakeGroup& group = this->fleet->Group();
    group.Fence(this->fleet->MemberName(a), this->term);
    group.Fence(this->fleet->MemberName(b), this->term);
    const auto position = [&](std::size_t member) {
      return group.Member(this->fleet->MemberName(member)).Durable();
    };
    this->primary = position(a) < position(b) ? b : a;
    const std::size_t other = this->primary == a ? b : a;
    const MemberId chosen = this->fleet->MemberName(this->primary);
    group.Promote(chosen, this->term);
    group.Follow(this->fleet->MemberName(other), this->term, chosen);
    this->fleet->Publish(this->term, chosen);
    this->queue.After(
        milliseconds(500), [this, old, a, b, chosen, of_term = this->term] {
          this->fleet->Net().SetCut(this->Zone(old), this->Zone(a), false);
          this->fleet->Net().SetCut(this->Zone(old), this->Zone(b), false);
          this->fleet->Group().Follow(this->fleet->MemberName(old), of_term,
                                      chosen);
        });
  }

  std::mt19937_64 random;
  model::EventQueue queue;
  std::unique_ptr<model::Fleet> fleet;
  std::unique_ptr<model::ReadWorkload> workload;
  std::size_t primary = 0;
  std::uint64_t term = 1;
};

class SessionFailoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionFailoverTest);
  CPPUNIT_TEST(KeepsSessionsConsistentAcrossPrimaries);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsSessionsConsistentAcrossPrimaries() {
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
      const model::ReadWorkloadResult result = FailoverRun(seed).Run();
      const std::string run = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(run, std::uint64_t{0},
                                   result.own_write_violations);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(run, std::uint64_t{0},
                                   result.monotonic_violations);
      CPPUNIT_ASSERT_MESSAGE(run, result.answered_reads > 1000);
      CPPUNIT_ASSERT_MESSAGE(run, result.by_replica > 100);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionFailoverTest);

}  // namespace
}  // namespace lacewingferry
