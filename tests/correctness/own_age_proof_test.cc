#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>

#include "bench/model/fleet.h"
#include "bench/model/read_truth.h"
#include "lacewingferry/decisions/session/read_validation.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLag{200};
/** The lag, the log's way to the replica and the rows' way back are 240 ms. An
 * owner's proof adds the sample's way, 20 ms, which this age doesn't leave. */
constexpr milliseconds kMaxAge{258};

class OwnAgeProofTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnAgeProofTest);
  CPPUNIT_TEST(NearThePrimaryTheWaysToTheOwnerAreNotCounted);
  CPPUNIT_TEST(AnOldViewOfThePrimaryProvesNothing);
  CPPUNIT_TEST(AProvenPositionHasToBeApplied);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NearThePrimaryTheWaysToTheOwnerAreNotCounted() {
    model::EventQueue queue;
    model::FleetOptions options = model::KraanwaterOptions();
    model::ReadTruth truth;
    options.group.apply_lag = [](const MemberId&) { return kLag; };
    options.group.on_commit = [&](const MemberId&,
                                  const model::FakeEntry& entry) {
      truth.OnCommit(queue.Now(), entry);
    };
    model::Fleet fleet(queue, options);
    queue.RunUntil(queue.Now() + seconds(1));
    int by_replica = 0;
    int before = 0;
    for (int i = 0; i < 200; ++i) {
      this->Write(fleet, i);
      // The first reads teach the proxies how long an answer takes.
      int& count = i < 100 ? before : by_replica;
      if (i >= 50) this->Read(queue, fleet, truth, count);
      queue.RunUntil(queue.Now() + milliseconds(10));
    }
    queue.RunUntil(queue.Now() + seconds(1));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(by_replica), by_replica >= 90);
  }

  /** With the primary cut off from the reader no sample is renewed. */
  void AnOldViewOfThePrimaryProvesNothing() {
    model::EventQueue queue;
    model::Fleet fleet(queue, model::KraanwaterOptions());
    model::ReadTruth truth;
    queue.RunUntil(queue.Now() + seconds(1));
    int by_replica = 0;
    this->Read(queue, fleet, truth, by_replica);
    queue.RunUntil(queue.Now() + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(1, by_replica);
    fleet.Group().Kill(fleet.MemberName(0));
    queue.RunUntil(queue.Now() + seconds(1));
    this->Read(queue, fleet, truth, by_replica);
    queue.RunUntil(queue.Now() + seconds(3));
    CPPUNIT_ASSERT_EQUAL(1, by_replica);
  }

  void AProvenPositionHasToBeApplied() {
    ReadObservation evidence;
    evidence.before.term = evidence.after.term = evidence.view_term = 1;
    evidence.max_age = kMaxAge;
    evidence.age = kMaxAge + milliseconds(1);
    evidence.before.applied = evidence.after.applied = {1, 9};
    CPPUNIT_ASSERT(ValidateRead(evidence).refusal);
    evidence.fresh_position = LogPosition{1, 10};
    CPPUNIT_ASSERT(ValidateRead(evidence).refusal);
    evidence.fresh_position = LogPosition{1, 9};
    CPPUNIT_ASSERT(!ValidateRead(evidence).refusal);
  }

 private:
  void Write(model::Fleet& fleet, int number) {
    StatementRequest request;
    request.database = fleet.Database();
    request.kind = RequestKind::kWrite;
    request.statement = {"PUT", {SqlValue("key"), std::to_string(number)}};
    request.timeout = seconds(1);
    fleet.Submit(static_cast<std::size_t>(number) % 5, request,
                 [](const Outcome&) {});
  }

  /** Reads at a proxy of the primary's zone that owns no connection to it or
   * does, by turns; whatever is answered has to be true. */
  void Read(model::EventQueue& queue, model::Fleet& fleet,
            model::ReadTruth& truth, int& by_replica) {
    StatementRequest request;
    request.database = fleet.Database();
    request.statement = {"GET", {SqlValue("key")}};
    request.max_age = kMaxAge;
    request.timeout = seconds(1);
    fleet.Submit(this->reader++ % 5, request, [&](const Outcome& outcome) {
      const auto* answer = std::get_if<Answered>(&outcome);
      if (answer == nullptr || !answer->served_by_replica) return;
      ++by_replica;
      const std::size_t version =
          answer->result.rows.empty()
              ? 0
              : std::stoull(answer->result.rows[0][0].value()) + 1;
      const auto answered_at = queue.Now() - fleet.Options().to_callers;
      CPPUNIT_ASSERT(answer->age_bound);
      CPPUNIT_ASSERT(truth.AgeOf(answered_at, "key", version) <=
                     *answer->age_bound);
      CPPUNIT_ASSERT(*answer->age_bound <= kMaxAge);
    });
  }

  std::size_t reader = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnAgeProofTest);

}  // namespace
}  // namespace lacewingferry
