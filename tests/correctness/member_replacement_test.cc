#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <variant>

#include "bench/model/failover_fleet.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"

namespace lacewingferry {
namespace {

using model::EventQueue;
using model::FailoverFleet;
using model::FailoverFleetOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr milliseconds kWriteInterval{10};
constexpr milliseconds kLostAfter{1000};
constexpr milliseconds kPollInterval{5};
constexpr milliseconds kPrimaryLossAfterCut{200};
/** How long control's updates of changed members take to reach the proxies. */
constexpr milliseconds kUpdateDelay{1500};
constexpr seconds kWarmUp{4};
constexpr seconds kRestartDelay{3};
constexpr seconds kFaultPeriod{12};
constexpr seconds kSettleTime{8};

/** The faults of a run. Times count from the end of the warm-up. */
struct Plan {
  std::uint64_t seed = 1;
  /** When the remaining replica begins to receive from the primary. */
  milliseconds remaining_receives_after{0};
  /** When the other replica is lost and replaced. */
  milliseconds replica_lost_at{0};
  /** When the replacement begins to receive from the primary. */
  milliseconds replacement_receives_after{0};
  milliseconds primary_lost_at{0};
  /** When the control leader receives no messages for a second; none for
   * never. */
  std::optional<milliseconds> control_paused_at;
  /** The other replica is not stopped: it still confirms writes, but control no
   * longer hears of it. */
  bool replica_only_silent = false;
  /** From the admission of the new member on, only the lost replica receives
   * from the primary, and the primary fails shortly afterwards. */
  bool cut_at_admission = false;
};

Plan RandomPlan(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto up_to = [&random](int most) {
    return milliseconds(std::uniform_int_distribution<int>(0, most)(random));
  };
  Plan plan;
  plan.seed = seed;
  plan.remaining_receives_after = up_to(5000);
  plan.replica_lost_at = up_to(500);
  plan.replacement_receives_after = plan.replica_lost_at + up_to(5000);
  plan.primary_lost_at = up_to(7000);
  if (random() % 2 == 0) plan.control_paused_at = up_to(6000);
  return plan;
}

/** One database that loses a replica and then its primary. */
class Replacement {
 public:
  Replacement(const Plan& replacement_plan,
              const std::function<void(FailoverFleetOptions&)>& adjust)
      : plan(replacement_plan), random(replacement_plan.seed) {
    FailoverFleetOptions options;
    options.places = model::KraanwaterOptions();
    options.places.proxies_per_zone = 2;
    options.places.group.streams = [this](const MemberId& replica) {
      return this->ReceivesLog(replica);
    };
    options.codec = MakeLogCodec();
    options.settings.member_lost_after = kLostAfter;
    options.seed = this->random();
    if (adjust) adjust(options);
    this->queue.RunUntil(steady_clock::time_point(seconds(1)));
    this->fleet =
        std::make_unique<FailoverFleet>(this->queue, std::move(options));
  }

  void Run() {
    this->RunFaults();
    this->faults_over = true;
    this->RunFor(kSettleTime);
  }

  /** Runs without the time to settle. */
  void RunFaults() {
    this->ScheduleWrites();
    this->RunFor(kWarmUp);
    this->start = this->queue.Now();
    this->queue.After(this->plan.replica_lost_at,
                      [this] { this->LoseReplica(); });
    if (this->plan.cut_at_admission) this->AwaitAdmission();
    this->queue.After(this->plan.primary_lost_at,
                      [this] { this->LosePrimary(); });
    if (this->plan.control_paused_at) {
      this->queue.After(*this->plan.control_paused_at,
                        [this] { this->PauseControl(); });
    }
    this->RunFor(kFaultPeriod);
  }

  FailoverFleet& Fleet() { return *this->fleet; }

 private:
  void RunFor(std::chrono::nanoseconds time) {
    this->queue.RunUntil(this->queue.Now() + time);
  }

  bool ReceivesLog(const MemberId& replica) const {
    if (!this->start) return true;
    const auto since = this->queue.Now() - *this->start;
    if (this->cut && !this->faults_over) return replica == MemberId("member-2");
    if (replica == MemberId("member-1"))
      return since > this->plan.remaining_receives_after;
    if (replica == MemberId("member-3")) {
      return since > this->plan.replacement_receives_after;
    }
    return true;
  }

  void ScheduleWrites() {
    const std::size_t proxy = std::uniform_int_distribution<std::size_t>(
        0, this->fleet->ProxyCount() - 1)(this->random);
    this->fleet->Write(proxy, [](std::uint64_t) {});
    if (this->faults_over) return;
    this->queue.After(kWriteInterval, [this] { this->ScheduleWrites(); });
  }

  void LoseReplica() {
    if (!this->plan.replica_only_silent) {
      this->fleet->Group().Stall(this->fleet->MemberOf(2),
                                 steady_clock::time_point::max());
    }
    this->fleet->ReplaceMember(2);
  }

  void AwaitAdmission() {
    if (!this->fleet->Entry()->HasMember(MemberId("member-3"))) {
      this->queue.After(kPollInterval, [this] { this->AwaitAdmission(); });
      return;
    }
    this->cut = true;
    this->queue.After(kPrimaryLossAfterCut, [this] { this->LosePrimary(); });
  }

  void LosePrimary() {
    const MemberId primary = this->fleet->Entry()->primary;
    this->fleet->Group().Kill(primary);
    this->queue.After(kRestartDelay, [this, primary] {
      this->fleet->Group().Restart(primary);
    });
  }

  void PauseControl() {
    const auto leader = this->fleet->Control().Leader();
    if (!leader) return;
    this->fleet->Control().Pause(*leader, true);
    this->queue.After(seconds(1), [this, i = *leader] {
      this->fleet->Control().Pause(i, false);
    });
  }

  Plan plan;
  std::mt19937_64 random;
  EventQueue queue;
  std::unique_ptr<FailoverFleet> fleet;
  std::optional<steady_clock::time_point> start;
  bool faults_over = false;
  bool cut = false;
};

/** A member that is lost for good is replaced by a new one. */
class MemberReplacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberReplacementTest);
  CPPUNIT_TEST(NewMemberReplacesTheLostOne);
  CPPUNIT_TEST(WaitsForAMajorityOfTheCurrentMembers);
  CPPUNIT_TEST(LosesNoAcknowledgedWrite);
  CPPUNIT_TEST(ChangeWithoutProofLosesWrites);
  CPPUNIT_TEST(LeasesThatOutlastTheWaitLoseWrites);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NewMemberReplacesTheLostOne() {
    Plan plan;
    plan.primary_lost_at = milliseconds(5000);
    Replacement replacement(plan, {});
    replacement.Run();
    const DatabaseTerm& entry = *replacement.Fleet().Entry();
    CPPUNIT_ASSERT(entry.HasMember(MemberId("member-3")));
    CPPUNIT_ASSERT(!entry.HasMember(MemberId("member-2")));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, entry.group_size);
    // Without the new member there was no majority to replace the primary.
    CPPUNIT_ASSERT(entry.primary != MemberId("member-0"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replacement.Fleet().LostWrites());
  }

  void WaitsForAMajorityOfTheCurrentMembers() {
    Plan plan;
    plan.remaining_receives_after = kFaultPeriod;
    plan.primary_lost_at = kFaultPeriod + kSettleTime;
    Replacement replacement(plan, {});
    replacement.RunFaults();
    CPPUNIT_ASSERT(
        replacement.Fleet().Entry()->HasMember(MemberId("member-2")));
  }

  void LosesNoAcknowledgedWrite() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      Replacement replacement(RandomPlan(seed), {});
      replacement.Run();
      FailoverFleet& fleet = replacement.Fleet();
      RC_ASSERT(fleet.Acknowledged() > 0U);
      RC_ASSERT(fleet.LostWrites() == 0U);
      RC_ASSERT(fleet.ReplacedAnswers() == 0U);
      RC_ASSERT(fleet.Entry()->members.size() == 3U);
      RC_ASSERT(fleet.Entry()->HasMember(MemberId("member-3")));
    }));
  }

  void ChangeWithoutProofLosesWrites() {
    Plan plan;
    plan.remaining_receives_after = kFaultPeriod;
    plan.replica_lost_at = milliseconds(300);
    plan.replacement_receives_after = kFaultPeriod;
    plan.primary_lost_at = milliseconds(6000);
    Replacement checked(plan, {});
    checked.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, checked.Fleet().LostWrites());
    Replacement unchecked(plan, [](FailoverFleetOptions& options) {
      options.instead_of_command = &AcceptUnprovenReports;
    });
    unchecked.Run();
    CPPUNIT_ASSERT(unchecked.Fleet().LostWrites() > 0);
  }

  void LeasesThatOutlastTheWaitLoseWrites() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, LostWritesWithLeaseFactor(1));
    CPPUNIT_ASSERT(LostWritesWithLeaseFactor(5) > 0);
  }

 private:
  /** The number of writes lost when proxies hold each lease for a multiple of
   * the time that control assumes, and learn late of changed members. */
  static std::size_t LostWritesWithLeaseFactor(int factor) {
    Plan plan;
    plan.replica_only_silent = true;
    plan.cut_at_admission = true;
    plan.primary_lost_at = kFaultPeriod + kSettleTime;
    Replacement replacement(plan, [factor](FailoverFleetOptions& options) {
      options.filter = [factor](PeerBody& body) {
        auto* grant = std::get_if<LeaseGrant>(&body);
        if (grant != nullptr) grant->duration *= factor;
        const bool delayed = std::holds_alternative<ClusterUpdate>(body);
        return std::optional<std::chrono::nanoseconds>(
            delayed ? kUpdateDelay : milliseconds(0));
      };
    });
    replacement.Run();
    CPPUNIT_ASSERT(
        replacement.Fleet().Entry()->HasMember(MemberId("member-3")));
    return replacement.Fleet().LostWrites();
  }

  /** Reports any running member as one that holds the whole log in the current
   * term, without asking it. */
  static bool AcceptUnprovenReports(model::FakeGroup& group,
                                    const MemberCommand& command,
                                    MemberCommandResult& result) {
    if (command.kind != MemberCommandKind::kReport) return false;
    if (group.Stalled(command.member.id)) return false;
    result.answered = true;
    result.accepted = true;
    result.member_term = command.term;
    result.position = {command.term, 1};
    return true;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberReplacementTest);

}  // namespace
}  // namespace lacewingferry
