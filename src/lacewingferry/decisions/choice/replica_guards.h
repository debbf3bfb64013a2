#ifndef LACEWINGFERRY_DECISIONS_CHOICE_REPLICA_GUARDS_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_REPLICA_GUARDS_H_

// Defines ReplicaGuards, which keep reads of one proxy away from replicas that
// fail, are much slower than the others, or have just returned.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/choice/circuit_breaker.h"
#include "lacewingferry/decisions/choice/member_set.h"
#include "lacewingferry/decisions/choice/slow_start.h"

namespace lacewingferry {

/** Called when a replica's breaker opens, and when it closes again. */
using BreakerHook = std::function<void(const MemberId&, bool open)>;

/**
 * Holds a circuit breaker and a slow start for each replica of a database. They
 * only exclude replicas: which requests a replica may serve is decided
 * elsewhere, the primary is never excluded, and a read for which no other
 * member is left goes to an excluded replica.
 *
 * Members are compared by Answered::member_time, so neither the network delay
 * to another zone nor the wait for replication makes a replica look slow. If
 * all replicas are slow, the cause is load: a breaker opens for slowness only
 * while another replica's breaker is closed and that replica is faster, and
 * closes when that is no longer so.
 */
class ReplicaGuards {
 public:
  ReplicaGuards(std::uint64_t seed, BreakerHook on_change);

  /** Applies a newer view; nullptr if the database is gone. State of members
   * that are still there is kept. A replica that first appears in a later view
   * than the first starts slowly. */
  void Rebuild(std::chrono::steady_clock::time_point now,
               const DatabaseView* view);

  /** The replicas that the next read has to avoid. Each call counts as a
   * read. */
  MemberSet PassedOver(std::chrono::steady_clock::time_point now);

  /** The number of members, and how long a member with outstanding reads has
   * not answered; zero for one without any. */
  std::size_t MemberCount() const { return this->guards.size(); }
  std::chrono::nanoseconds Silence(std::chrono::steady_clock::time_point now,
                                   std::size_t place) const;

  /** A replica whose breaker admits the next read as a trial. */
  std::optional<std::size_t> TrialDue(
      std::chrono::steady_clock::time_point now) const;

  /** All members but one, so that only that one can be chosen. */
  MemberSet AllBut(std::size_t place) const;

  /** Records that a read was sent to a member. */
  void OnSent(std::chrono::steady_clock::time_point now, std::size_t place);

  /** Records the outcome of a read that was sent since the last Rebuild.
   * Returns whether the replica has just recovered, so that earlier estimates
   * of its answer time are out of date. */
  bool OnOutcome(std::chrono::steady_clock::time_point now, std::size_t place,
                 const Outcome& outcome);

 private:
  struct Guard {
    MemberId member;
    CircuitBreaker breaker;
    bool replica = false;
    SlowStart slow_start{};
    /** The moving average and the minimum of the answer times; zero before the
     * first answer. */
    std::chrono::nanoseconds average{0};
    std::chrono::nanoseconds fastest{0};
    std::size_t outstanding = 0;
    /** The time of the latest outcome, or of the first outstanding read. */
    std::chrono::steady_clock::time_point silent_since{};
    /** Whether the breaker is open for slowness, not for failures. */
    bool slow = false;
  };

  Guard MakeGuard(const RoutedMember& member) const;
  /** The lowest average answer time of the other replicas whose breakers are
   * closed; none if there are none. */
  std::optional<std::chrono::nanoseconds> FastestPeerTime(
      const Guard& guard) const;
  bool TooSlow(const Guard& guard, std::chrono::nanoseconds time) const;
  bool OnAnswer(std::chrono::steady_clock::time_point now, Guard& guard,
                std::chrono::nanoseconds time);
  void OnFailure(std::chrono::steady_clock::time_point now, Guard& guard);
  void OnSilence(std::chrono::steady_clock::time_point now, Guard& guard);
  void CloseIfLoadExplains(std::chrono::steady_clock::time_point now);

  std::uint64_t seed;
  BreakerHook on_change;
  std::vector<Guard> guards;
  bool first_view = true;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_REPLICA_GUARDS_H_
