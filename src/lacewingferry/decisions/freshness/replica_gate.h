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

/** What a ReplicaGate acts through. */
struct ReplicaGateHooks {
  /** Runs a read on the replica. */
  std::function<void(std::chrono::steady_clock::time_point now, Job)> run;
  /** Asks the replica what it has applied. */
  std::function<void(std::chrono::steady_clock::time_point now)> ask_replica;
  /** Wants samples of the primary's position for a read of a stated age; see
   * PositionSampler. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     std::chrono::milliseconds max_age)>
      want_sample;
  /** The time up to which data that includes a position is complete. */
  std::function<std::optional<std::chrono::steady_clock::time_point>(
      const LogPosition&)>
      complete_until;
};

/**
 * Decides when a read may run on one replica. A read that the replica is known
 * to satisfy runs at once. One that it will probably satisfy within a short
 * bounded time waits for it. Any other is refused at once, so that the proxy
 * that received it can try elsewhere.
 */
class ReplicaGate {
 public:
  explicit ReplicaGate(ReplicaGateHooks hooks);

  /** Takes a read. */
  void Submit(std::chrono::steady_clock::time_point now, Job job);

  /** Takes what the replica says that it has applied. */
  void OnApplied(std::chrono::steady_clock::time_point asked_at,
                 std::chrono::steady_clock::time_point now,
                 const LogPosition& applied);

  /** Runs and refuses the reads whose time has come. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Refuses all held reads. */
  void Withdraw(std::chrono::steady_clock::time_point now);

  /** Reads that are held. */
  std::size_t Held() const { return this->held.size(); }

  /** The longest that a read is held for a replica. */
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
  bool Hopeless(std::chrono::steady_clock::time_point now,
                const HeldRead& read) const;
  void Refuse(std::chrono::steady_clock::time_point now, const Job& job) const;

  ReplicaGateHooks hooks;
  std::list<HeldRead> held;
  std::optional<LogPosition> applied;
  /** When the question was sent that brought the newest report. */
  std::chrono::steady_clock::time_point reported_at;
  std::chrono::steady_clock::time_point next_question;
  ApplyRate rate;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_REPLICA_GATE_H_
