#include "lacewingferry/decisions/freshness/replica_gate.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Interval at which the replica is queried while reads are held. */
constexpr milliseconds kQueryInterval{5};
/** Time allowed from the gate's decision until the read has run. A max_age is
 * checked as of then. */
constexpr milliseconds kRunAllowance{3};
/** How long after its arrival a read may rely on fresh_position. The proxy that
 * received the read allows for this wait in its proof. */
constexpr milliseconds kProofValidity{10};
/** The estimated catch-up time may be wrong by this factor before a read is
 * refused. */
constexpr int kEstimateErrorFactor = 2;

}  // namespace

ReplicaGate::ReplicaGate(ReplicaGateHooks gate_hooks)
    : hooks(std::move(gate_hooks)) {}

std::optional<std::chrono::nanoseconds> ReplicaGate::KnownAge(
    steady_clock::time_point now) const {
  if (!this->applied) return std::nullopt;
  const auto complete = this->hooks.complete_until(*this->applied);
  if (!complete) return std::nullopt;
  return now - *complete;
}

bool ReplicaGate::Satisfies(steady_clock::time_point now,
                            const Job& job) const {
  if (!this->applied) return false;
  const StatementRequest& request = job.request;
  if (request.session_position && *this->applied < *request.session_position) {
    return false;
  }
  if (!request.max_age) return true;
  const bool fresh = request.fresh_position &&
                     *this->applied >= *request.fresh_position &&
                     now - job.received <= kProofValidity;
  if (fresh) return true;
  const auto age = this->KnownAge(now);
  return age && *age + kRunAllowance <= *request.max_age;
}

/**
 * A read can't be served in time once a report newer than its arrival shows the
 * replica too far behind. For a session, the expected time to reach its
 * position decides. For a max_age, the replica's lag decides, as bounded by the
 * samples: it has to shrink to max_age within the wait.
 */
bool ReplicaGate::CannotCatchUpInTime(steady_clock::time_point now,
                                      const HeldRead& read) const {
  if (!this->applied || this->reported_at < read.arrived_at) return false;
  const StatementRequest& request = read.job.request;
  if (request.session_position && *this->applied < *request.session_position) {
    const auto time = this->rate.TimeToReach(*request.session_position);
    return time && *time > kLongestWait * kEstimateErrorFactor;
  }
  if (!request.max_age) return false;
  const auto age = this->KnownAge(now);
  return age && *age > *request.max_age + 2 * kLongestWait;
}

void ReplicaGate::Submit(steady_clock::time_point now, Job job) {
  if (job.request.max_age) {
    this->hooks.request_samples(now, *job.request.max_age);
  }
  if (this->Satisfies(now, job)) {
    this->hooks.run(now, std::move(job));
    return;
  }
  const auto until =
      std::min<steady_clock::time_point>(job.deadline, now + kLongestWait);
  this->held.push_back(HeldRead{std::move(job), now, until});
  this->OnTick(now);
}

void ReplicaGate::OnApplied(steady_clock::time_point asked_at,
                            steady_clock::time_point now,
                            const LogPosition& position) {
  this->applied = position;
  this->reported_at = std::max(this->reported_at, asked_at);
  this->rate.Observe(now, position);
}

void ReplicaGate::Refuse(steady_clock::time_point now, const Job& job) const {
  NotRun refusal{RefusalCode::kNoReplicaFreshEnough,
                 "the replica will not have what the read needs in time"};
  const auto age = this->KnownAge(now);
  if (age && job.request.max_age) {
    refusal.replica_age = std::chrono::ceil<milliseconds>(*age);
  }
  job.reply(refusal);
}

void ReplicaGate::OnTick(steady_clock::time_point now) {
  std::list<HeldRead> ready;
  std::list<HeldRead> refused;
  for (auto it = this->held.begin(); it != this->held.end();) {
    const auto next = std::next(it);
    if (this->Satisfies(now, it->job)) {
      ready.splice(ready.end(), this->held, it);
    } else if (it->until <= now || this->CannotCatchUpInTime(now, *it)) {
      refused.splice(refused.end(), this->held, it);
    }
    it = next;
  }
  if (!this->held.empty() && now >= this->next_query) {
    this->next_query = now + kQueryInterval;
    this->hooks.query_replica(now);
  }
  for (HeldRead& read : ready) this->hooks.run(now, std::move(read.job));
  for (const HeldRead& read : refused) this->Refuse(now, read.job);
}

std::optional<steady_clock::time_point> ReplicaGate::NextWakeup() const {
  if (this->held.empty()) return std::nullopt;
  steady_clock::time_point next = this->next_query;
  for (const HeldRead& read : this->held) next = std::min(next, read.until);
  return next;
}

void ReplicaGate::Withdraw(steady_clock::time_point now) {
  std::list<HeldRead> refused;
  refused.swap(this->held);
  this->applied.reset();
  this->next_query = now;
  for (const HeldRead& read : refused) this->Refuse(now, read.job);
}

}  // namespace lacewingferry
