#include "lacewingferry/decisions/choice/replica_guards.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

/** An answer is slow that takes so many times as long as the best peer's usual
 * answer, and longer than the floor. */
constexpr int kSlowFactor = 4;
constexpr milliseconds kSlowFloor{20};
/** A new time counts for a quarter of the usual one. */
constexpr int kObservationShare = 4;
/** A replica with something outstanding that tells nothing for so long has
 * failed once. */
constexpr milliseconds kLongestSilence{250};

/** Whether a refusal shows that the replica, or its owner's connections,
 * failed. A refusal under load shows neither that nor the opposite. */
bool ShowsFailure(RefusalCode code) {
  return code == RefusalCode::kMemberUnreachable ||
         code == RefusalCode::kNoOwner;
}

}  // namespace

ReplicaGuards::ReplicaGuards(std::uint64_t guard_seed, BreakerHook change_hook)
    : seed(guard_seed), on_change(std::move(change_hook)) {}

ReplicaGuards::Guard ReplicaGuards::MakeGuard(
    const RoutedMember& member) const {
  const std::uint64_t own_seed =
      this->seed ^ std::hash<MemberId>()(member.info.id);
  return Guard{member.info.id, CircuitBreaker(own_seed)};
}

void ReplicaGuards::Rebuild(steady_clock::time_point now,
                            const DatabaseView* view) {
  std::vector<Guard> known = std::move(this->guards);
  this->guards.clear();
  if (view == nullptr) return;
  for (const RoutedMember& member : view->members) {
    const auto before = std::find_if(
        known.begin(), known.end(),
        [&member](const Guard& g) { return g.member == member.info.id; });
    Guard guard = before == known.end() ? this->MakeGuard(member) : *before;
    if (before == known.end() && !this->first_view) guard.slow_start.Begin(now);
    guard.replica = member.info.id != view->primary;
    if (!guard.replica) guard.breaker.Close();
    // Outcomes of what was sent by an earlier view are not told here.
    guard.outstanding = 0;
    guard.breaker.ForgetTry();
    this->guards.push_back(std::move(guard));
  }
  this->first_view = this->guards.empty();
}

std::optional<nanoseconds> ReplicaGuards::BestPeer(const Guard& guard) const {
  std::optional<nanoseconds> best;
  for (const Guard& other : this->guards) {
    if (&other == &guard || !other.replica || other.breaker.Open()) continue;
    // Of a peer that was not asked yet the best is hoped for.
    const nanoseconds usual =
        other.usual.count() == 0 ? guard.fastest : other.usual;
    if (!best || usual < *best) best = usual;
  }
  return best;
}

bool ReplicaGuards::TooSlow(const Guard& guard, nanoseconds time) const {
  if (time <= kSlowFloor) return false;
  const auto peer = this->BestPeer(guard);
  return peer && time > kSlowFactor * *peer;
}

void ReplicaGuards::OnFailure(steady_clock::time_point now, Guard& guard) {
  if (!guard.breaker.OnBad(now)) return;
  guard.slow = false;
  this->on_change(guard.member, true);
}

void ReplicaGuards::OnSilence(steady_clock::time_point now, Guard& guard) {
  if (guard.outstanding == 0) return;
  if (now - guard.silent_since < kLongestSilence) return;
  guard.silent_since = now;
  this->OnFailure(now, guard);
}

bool ReplicaGuards::OnAnswer(steady_clock::time_point now, Guard& guard,
                             nanoseconds time) {
  // A member that comes back from a failure is expected to be cold at first.
  const bool starting =
      guard.breaker.Open() ? !guard.slow : guard.slow_start.Running(now);
  const bool slow = !starting && this->TooSlow(guard, time);
  const bool first = guard.usual.count() == 0;
  guard.usual += first ? time : (time - guard.usual) / kObservationShare;
  guard.fastest = first ? time : std::min(guard.fastest, time);
  if (slow) {
    if (guard.breaker.OnBad(now)) {
      guard.slow = true;
      this->on_change(guard.member, true);
    }
    return false;
  }
  if (!guard.breaker.OnGood()) return false;
  guard.usual = time;
  guard.slow_start.Begin(now);
  this->on_change(guard.member, false);
  return true;
}

/** A replica that was left alone for slowness takes part again once the others
 * are no better than it was: then it is load, which needs all of them. */
void ReplicaGuards::CloseUnderLoad(steady_clock::time_point now) {
  for (Guard& guard : this->guards) {
    if (!guard.breaker.Open() || !guard.slow) continue;
    const auto peer = this->BestPeer(guard);
    if (peer && 2 * *peer < guard.usual) continue;
    guard.breaker.Close();
    guard.slow_start.Begin(now);
    this->on_change(guard.member, false);
  }
}

MemberSet ReplicaGuards::PassedOver(steady_clock::time_point now) {
  MemberSet passed;
  for (std::size_t place = 0; place < this->guards.size(); ++place) {
    Guard& guard = this->guards[place];
    if (!guard.replica) continue;
    this->OnSilence(now, guard);
    if (guard.breaker.Open() || !guard.slow_start.Admit(now)) passed.Add(place);
  }
  return passed;
}

nanoseconds ReplicaGuards::Silence(steady_clock::time_point now,
                                   std::size_t place) const {
  const Guard& guard = this->guards[place];
  return guard.outstanding == 0 ? nanoseconds(0) : now - guard.silent_since;
}

std::optional<std::size_t> ReplicaGuards::TryDue(
    steady_clock::time_point now) const {
  for (std::size_t place = 0; place < this->guards.size(); ++place) {
    const Guard& guard = this->guards[place];
    if (guard.replica && guard.breaker.TryDue(now)) return place;
  }
  return std::nullopt;
}

MemberSet ReplicaGuards::AllBut(std::size_t place) const {
  MemberSet others;
  for (std::size_t other = 0; other < this->guards.size(); ++other) {
    if (other != place) others.Add(other);
  }
  return others;
}

void ReplicaGuards::OnSent(steady_clock::time_point now, std::size_t place) {
  Guard& guard = this->guards[place];
  if (guard.outstanding++ == 0) guard.silent_since = now;
  if (guard.breaker.TryDue(now)) guard.breaker.OnTry();
}

bool ReplicaGuards::OnOutcome(steady_clock::time_point now, std::size_t place,
                              const Outcome& outcome) {
  Guard& guard = this->guards[place];
  if (guard.outstanding > 0) --guard.outstanding;
  guard.silent_since = now;
  if (!guard.replica) return false;
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    if (ShowsFailure(refusal->code)) this->OnFailure(now, guard);
    // A try that told nothing is made again.
    guard.breaker.ForgetTry();
    return false;
  }
  const auto* answer = std::get_if<Answered>(&outcome);
  const nanoseconds time =
      answer == nullptr ? guard.usual : answer->member_time;
  const bool returned = this->OnAnswer(now, guard, time);
  this->CloseUnderLoad(now);
  return returned;
}

}  // namespace lacewingferry
