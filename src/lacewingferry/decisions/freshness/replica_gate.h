#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_REPLICA_GATE_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_REPLICA_GATE_H_

// Defines ReplicaGate, which holds reads until a replica is known to have the
// data that they need.

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <optional>

#include "lacewingferry/core/job.h"
#include "lacewingferry/decisions/freshness/apply_rate.h"

namespace lacewingferry {

/** Functions that a ReplicaGate calls. */
struct ReplicaGateHooks {
  /** Runs a read on the replica. */
  std::function<void(std::chrono::steady_clock::time_point now, Job)> run;
  /** Queries the replica's applied position. */
  std::function<void(std::chrono::steady_clock::time_point now)> query_replica;
  /** Requests samples of the primary's position for a read with a max_age; see
   * PositionSampler. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     std::chrono::milliseconds max_age)>
      request_samples;
  /** The time up to which data that includes a position is complete. */
  std::function<std::optional<std::chrono::steady_clock::time_point>(
      const LogPosition&)>
      complete_until;
};

/**
 * Decides when a read may run on one replica. A read that the replica is known
 * to satisfy runs at once. One that it will probably satisfy within a short
 * bounded time is held. Any other is refused at once, so that the proxy that
 * received it can try another member.
 */
class ReplicaGate {
 public:
  explicit ReplicaGate(ReplicaGateHooks hooks);

  /** Runs, holds or refuses a read. */
  void Submit(std::chrono::steady_clock::time_point now, Job job);

  /** Records the position that the replica reports as applied, in answer to a
   * query sent at asked_at. */
  void OnApplied(std::chrono::steady_clock::time_point asked_at,
                 std::chrono::steady_clock::time_point now,
                 const LogPosition& applied);

  /** Runs the held reads that the replica now satisfies, and refuses those that
   * it can't satisfy in time. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Refuses all held reads and forgets the applied position. */
  void Withdraw(std::chrono::steady_clock::time_point now);

  std::size_t Held() const { return this->held.size(); }

  /** The longest time that a read is held. */
  static constexpr std::chrono::milliseconds kLongestWait{100};

 private:
  struct HeldRead {
    Job job;
    std::chrono::steady_clock::time_point arrived_at;
    std::chrono::steady_clock::time_point until;
  };

  std::optional<std::chrono::nanoseconds> KnownAge(
      std::chrono::steady_clock::time_point now) const;
  bool Satisfies(std::chrono::steady_clock::time_point now,
                 const Job& job) const;
  bool CannotCatchUpInTime(std::chrono::steady_clock::time_point now,
                           const HeldRead& read) const;
  void Refuse(std::chrono::steady_clock::time_point now, const Job& job) const;

  ReplicaGateHooks hooks;
  std::list<HeldRead> held;
  std::optional<LogPosition> applied;
  /** When the query was sent that brought the newest report. */
  std::chrono::steady_clock::time_point reported_at;
  std::chrono::steady_clock::time_point next_query;
  ApplyRate rate;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_REPLICA_GATE_H_
