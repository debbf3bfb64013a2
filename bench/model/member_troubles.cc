#include "bench/model/member_troubles.h"

#include <cmath>
#include <memory>

#include "lacewingferry/core/errors.h"

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr seconds kTroubleTime{10};
/** How many times as long a slow or a cold member takes. */
constexpr double kSlowness = 20;
/** A cold member's excess has fallen to a third after so many statements. */
constexpr double kWarmingStatements = 150;
constexpr seconds kColdAfter{5};
constexpr milliseconds kHalfFlap{500};
constexpr seconds kReleasedAfter{1};
constexpr seconds kReplacedAfter{3};
constexpr std::uint64_t kNewTerm = 2;

/** A replica in another zone than the first primary. */
MemberId Victim() { return MemberId("member-1"); }

void MakeSlow(SlowMemberOptions& options) {
  options.slowness = [](const MemberId& member, nanoseconds since) {
    const bool slow = member == Victim() && since >= nanoseconds(0) &&
                      since < nanoseconds(kTroubleTime);
    return slow ? kSlowness : 1.0;
  };
}

void KillFor(EventQueue& queue, Fleet& fleet, nanoseconds time) {
  fleet.Group().Kill(Victim());
  queue.After(time, [&fleet] { fleet.Group().Restart(Victim()); });
}

void MakeDead(SlowMemberOptions& options) {
  options.trouble = [](EventQueue& queue, Fleet& fleet) {
    KillFor(queue, fleet, kTroubleTime);
  };
}

void MakeHung(SlowMemberOptions& options) {
  options.trouble = [](EventQueue& queue, Fleet& fleet) {
    fleet.Group().Stall(Victim(), queue.Now() + kTroubleTime);
  };
}

void MakeFlapping(SlowMemberOptions& options) {
  options.trouble = [](EventQueue& queue, Fleet& fleet) {
    for (nanoseconds at{0}; at < kTroubleTime; at += 2 * kHalfFlap) {
      queue.After(at, [&queue, &fleet] { KillFor(queue, fleet, kHalfFlap); });
    }
  };
}

void MakeCold(SlowMemberOptions& options) {
  options.trouble = [](EventQueue& queue, Fleet& fleet) {
    KillFor(queue, fleet, kColdAfter);
  };
  auto statements = std::make_shared<double>(0);
  options.slowness = [statements](const MemberId& member, nanoseconds since) {
    if (member != Victim() || since < nanoseconds(kColdAfter)) return 1.0;
    *statements += 1;
    return 1 + (kSlowness - 1) * std::exp(-*statements / kWarmingStatements);
  };
}

void ReplacePrimary(Fleet& fleet) {
  FakeGroup& group = fleet.Group();
  group.Fence(fleet.MemberName(1), kNewTerm);
  group.Fence(fleet.MemberName(2), kNewTerm);
  group.Promote(fleet.MemberName(1), kNewTerm);
  group.Follow(fleet.MemberName(2), kNewTerm, fleet.MemberName(1));
  fleet.Publish(kNewTerm, fleet.MemberName(1));
}

void LosePrimary(SlowMemberOptions& options) {
  // Commit times are judged for a single primary only.
  options.workload.judge_ages = false;
  options.trouble = [](EventQueue& queue, Fleet& fleet) {
    fleet.Group().Kill(fleet.MemberName(0));
    queue.After(kReleasedAfter, [&queue, &fleet] {
      for (std::size_t i = 0; i < fleet.ProxyCount(); ++i) {
        fleet.Shard(i).ReleaseTerm(queue.Now(), fleet.Database(), 1);
      }
    });
    queue.After(kReplacedAfter, [&fleet] { ReplacePrimary(fleet); });
  };
}

}  // namespace

MemberTrouble PrimaryFalls() { return {"primary falls", LosePrimary}; }

std::vector<MemberTrouble> MemberTroubles() {
  return {{"slow", MakeSlow},
          {"dead", MakeDead},
          {"hung", MakeHung},
          {"flapping", MakeFlapping},
          {"cold", MakeCold}};
}

MemberTrouble FindMemberTrouble(const std::string& name) {
  for (const MemberTrouble& trouble : MemberTroubles()) {
    if (trouble.name == name) return trouble;
  }
  throw InternalError("no trouble is named " + name);
}

}  // namespace lacewingferry::model
