#include "lacewingferry/decisions/choice/replica_guards.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

/** An answer is slow if it takes this many times as long as the fastest peer's
 * average, and longer than the floor. */
constexpr int kSlowFactor = 4;
constexpr milliseconds kSlowFloor{20};
/** A new answer time has a weight of one quarter in the average. */
constexpr int kObservationDivisor = 4;
/** A replica with outstanding reads that answers none of them for this long
 * counts as failed once. */
constexpr milliseconds kMaxSilence{250};

/** Whether a refusal shows that the replica, or its owner's connections,
 * failed. A refusal under load shows neither failure nor health. */
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
    // Outcomes of reads that were sent under an earlier view are not reported
    // here.
    guard.outstanding = 0;
    guard.breaker.ForgetTrial();
    this->guards.push_back(std::move(guard));
  }
  this->first_view = this->guards.empty();
}

std::optional<nanoseconds> ReplicaGuards::FastestPeerTime(
    const Guard& guard) const {
  std::optional<nanoseconds> best;
  for (const Guard& other : this->guards) {
    if (&other == &guard || !other.replica || other.breaker.Open()) continue;
    // A peer without measurements is assumed to be as fast as the best answer
    // of this replica.
    const nanoseconds average =
        other.average.count() == 0 ? guard.fastest : other.average;
    if (!best || average < *best) best = average;
  }
  return best;
}

bool ReplicaGuards::TooSlow(const Guard& guard, nanoseconds time) const {
  if (time <= kSlowFloor) return false;
  const auto peer = this->FastestPeerTime(guard);
  return peer && time > kSlowFactor * *peer;
}

void ReplicaGuards::OnFailure(steady_clock::time_point now, Guard& guard) {
  if (!guard.breaker.OnFailure(now)) return;
  guard.slow = false;
  this->on_change(guard.member, true);
}

void ReplicaGuards::OnSilence(steady_clock::time_point now, Guard& guard) {
  if (guard.outstanding == 0) return;
  if (now - guard.silent_since < kMaxSilence) return;
  guard.silent_since = now;
  this->OnFailure(now, guard);
}

bool ReplicaGuards::OnAnswer(steady_clock::time_point now, Guard& guard,
                             nanoseconds time) {
  // A member that recovers from a failure is expected to have a cold cache.
  const bool starting =
      guard.breaker.Open() ? !guard.slow : guard.slow_start.Running(now);
  const bool slow = !starting && this->TooSlow(guard, time);
  const bool first = guard.average.count() == 0;
  guard.average += first ? time : (time - guard.average) / kObservationDivisor;
  guard.fastest = first ? time : std::min(guard.fastest, time);
  if (slow) {
    if (guard.breaker.OnFailure(now)) {
      guard.slow = true;
      this->on_change(guard.member, true);
    }
    return false;
  }
  if (!guard.breaker.OnSuccess()) return false;
  guard.average = time;
  guard.slow_start.Begin(now);
  this->on_change(guard.member, false);
  return true;
}

/** Closes the breaker of a replica that was avoided for slowness once its
 * peers are no faster than it was: the cause is then load, which needs
 * all replicas. */
void ReplicaGuards::CloseIfLoadExplains(steady_clock::time_point now) {
  for (Guard& guard : this->guards) {
    if (!guard.breaker.Open() || !guard.slow) continue;
    const auto peer = this->FastestPeerTime(guard);
    if (peer && 2 * *peer < guard.average) continue;
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

std::optional<std::size_t> ReplicaGuards::TrialDue(
    steady_clock::time_point now) const {
  for (std::size_t place = 0; place < this->guards.size(); ++place) {
    const Guard& guard = this->guards[place];
    if (guard.replica && guard.breaker.TrialDue(now)) return place;
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
  if (guard.breaker.TrialDue(now)) guard.breaker.OnTrialSent();
}

bool ReplicaGuards::OnOutcome(steady_clock::time_point now, std::size_t place,
                              const Outcome& outcome) {
  Guard& guard = this->guards[place];
  if (guard.outstanding > 0) --guard.outstanding;
  guard.silent_since = now;
  if (!guard.replica) return false;
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    if (ShowsFailure(refusal->code)) this->OnFailure(now, guard);
    // A trial without a conclusive outcome is repeated.
    guard.breaker.ForgetTrial();
    return false;
  }
  const auto* answer = std::get_if<Answered>(&outcome);
  const nanoseconds time =
      answer == nullptr ? guard.average : answer->member_time;
  const bool returned = this->OnAnswer(now, guard, time);
  this->CloseIfLoadExplains(now);
  return returned;
}

}  // namespace lacewingferry
