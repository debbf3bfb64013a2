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
constexpr milliseconds kPoll{5};
constexpr milliseconds kFallAfterCut{200};
/** The time that control's news of changed members take to the proxies. */
constexpr milliseconds kLateNews{1500};
constexpr seconds kWarmUp{4};
constexpr seconds kReturn{3};
constexpr seconds kTroubles{12};
constexpr seconds kSettling{8};

/** What happens, counted from the end of the warm-up. */
struct Plan {
  std::uint64_t seed = 1;
  /** How long the replica that stays gets nothing from the primary. */
  milliseconds stays_behind{0};
  /** When the other replica is lost and replaced. */
  milliseconds lost_at{0};
  /** How long the replacement gets nothing. */
  milliseconds starts_behind{0};
  milliseconds primary_falls_at{0};
  /** When the leader of control hears nothing for a second; none for never. */
  std::optional<milliseconds> control_pauses_at;
  /** The other replica is up and confirms, but isn't heard. */
  bool only_silent = false;
  /** As the new member is admitted no replica but the lost one gets anything
   * any more, and the primary falls a little later. */
  bool cut_at_admission = false;
};

Plan RandomPlan(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto up_to = [&random](int most) {
    return milliseconds(std::uniform_int_distribution<int>(0, most)(random));
  };
  Plan plan;
  plan.seed = seed;
  plan.stays_behind = up_to(5000);
  plan.lost_at = up_to(500);
  plan.starts_behind = plan.lost_at + up_to(5000);
  plan.primary_falls_at = up_to(7000);
  if (random() % 2 == 0) plan.control_pauses_at = up_to(6000);
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
      return this->Streams(replica);
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
    this->RunTroubles();
    this->quiet = true;
    this->RunFor(kSettling);
  }

  /** The same without the time to settle. */
  void RunTroubles() {
    this->WriteAgain();
    this->RunFor(kWarmUp);
    this->start = this->queue.Now();
    this->queue.After(this->plan.lost_at, [this] { this->LoseReplica(); });
    if (this->plan.cut_at_admission) this->AwaitAdmission();
    this->queue.After(this->plan.primary_falls_at,
                      [this] { this->LosePrimary(); });
    if (this->plan.control_pauses_at) {
      this->queue.After(*this->plan.control_pauses_at,
                        [this] { this->PauseControl(); });
    }
    this->RunFor(kTroubles);
  }

  FailoverFleet& Fleet() { return *this->fleet; }

 private:
  void RunFor(std::chrono::nanoseconds time) {
    this->queue.RunUntil(this->queue.Now() + time);
  }

  bool Streams(const MemberId& replica) const {
    if (!this->start) return true;
    const auto since = this->queue.Now() - *this->start;
    if (this->cut && !this->quiet) return replica == MemberId("member-2");
    if (replica == MemberId("member-1")) return since > this->plan.stays_behind;
    if (replica == MemberId("member-3")) {
      return since > this->plan.starts_behind;
    }
    return true;
  }

  void WriteAgain() {
    const std::size_t proxy = std::uniform_int_distribution<std::size_t>(
        0, this->fleet->ProxyCount() - 1)(this->random);
    this->fleet->Write(proxy, [](std::uint64_t) {});
    if (this->quiet) return;
    this->queue.After(kWriteInterval, [this] { this->WriteAgain(); });
  }

  void LoseReplica() {
    if (!this->plan.only_silent) {
      this->fleet->Group().Stall(this->fleet->MemberOf(2),
                                 steady_clock::time_point::max());
    }
    this->fleet->ReplaceMember(2);
  }

  void AwaitAdmission() {
    if (!this->fleet->Entry()->HasMember(MemberId("member-3"))) {
      this->queue.After(kPoll, [this] { this->AwaitAdmission(); });
      return;
    }
    this->cut = true;
    this->queue.After(kFallAfterCut, [this] { this->LosePrimary(); });
  }

  void LosePrimary() {
    const MemberId primary = this->fleet->Entry()->primary;
    this->fleet->Group().Kill(primary);
    this->queue.After(
        kReturn, [this, primary] { this->fleet->Group().Restart(primary); });
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
  bool quiet = false;
  bool cut = false;
};

/** A server that is lost for good gives its place to a new one. */
class MemberReplacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberReplacementTest);
  CPPUNIT_TEST(TheNewMemberCountsInPlaceOfTheLostOne);
  CPPUNIT_TEST(WaitsForAMajorityOfThePresentMembers);
  CPPUNIT_TEST(LosesNoAcknowledgedWrite);
  CPPUNIT_TEST(FindsAChangeWithoutProof);
  CPPUNIT_TEST(FindsLeasesThatOutlastTheWait);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TheNewMemberCountsInPlaceOfTheLostOne() {
    Plan plan;
    plan.primary_falls_at = milliseconds(5000);
    Replacement replacement(plan, {});
    replacement.Run();
    const DatabaseTerm& entry = *replacement.Fleet().Entry();
    CPPUNIT_ASSERT(entry.HasMember(MemberId("member-3")));
    CPPUNIT_ASSERT(!entry.HasMember(MemberId("member-2")));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, entry.group_size);
    // Without the new one there was no majority to replace the primary.
    CPPUNIT_ASSERT(entry.primary != MemberId("member-0"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replacement.Fleet().LostWrites());
  }

  void WaitsForAMajorityOfThePresentMembers() {
    Plan plan;
    plan.stays_behind = kTroubles;
    plan.primary_falls_at = kTroubles + kSettling;
    Replacement replacement(plan, {});
    replacement.RunTroubles();
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

  void FindsAChangeWithoutProof() {
    Plan plan;
    plan.stays_behind = kTroubles;
    plan.lost_at = milliseconds(300);
    plan.starts_behind = kTroubles;
    plan.primary_falls_at = milliseconds(6000);
    Replacement proven(plan, {});
    proven.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, proven.Fleet().LostWrites());
    Replacement believed(plan, [](FailoverFleetOptions& options) {
      options.instead_of_command = &BelieveAnnouncements;
    });
    believed.Run();
    CPPUNIT_ASSERT(believed.Fleet().LostWrites() > 0);
  }

  void FindsLeasesThatOutlastTheWait() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, LostWithLeasesTimes(1));
    CPPUNIT_ASSERT(LostWithLeasesTimes(5) > 0);
  }

 private:
  /** The writes lost when the proxies hold each lease so many times as long
   * as control believes, and hear late of changes of members. */
  static std::size_t LostWithLeasesTimes(int factor) {
    Plan plan;
    plan.only_silent = true;
    plan.cut_at_admission = true;
    plan.primary_falls_at = kTroubles + kSettling;
    Replacement replacement(plan, [factor](FailoverFleetOptions& options) {
      options.filter = [factor](PeerBody& body) {
        auto* grant = std::get_if<LeaseGrant>(&body);
        if (grant != nullptr) grant->duration *= factor;
        const bool late = std::holds_alternative<ClusterUpdate>(body);
        return std::optional<std::chrono::nanoseconds>(late ? kLateNews
                                                            : milliseconds(0));
      };
    });
    replacement.Run();
    CPPUNIT_ASSERT(
        replacement.Fleet().Entry()->HasMember(MemberId("member-3")));
    return replacement.Fleet().LostWrites();
  }

  /** Lets a member that is in the term pass for one that holds everything. */
  static bool BelieveAnnouncements(model::FakeGroup& group,
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
