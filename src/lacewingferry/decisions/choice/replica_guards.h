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

/** Told when a replica's breaker opens, and when it closes again. */
using BreakerHook = std::function<void(const MemberId&, bool open)>;

/**
 * Holds a breaker and a slow start for each replica of a database. They only
 * ever take a replica out of the choice: what a replica may serve is decided
 * elsewhere, the primary is never taken out, and a read that finds nothing
 * else goes to a replica that was taken out.
 *
 * Members are compared by Answered::member_time, so neither the way to another
 * zone nor the wait for replication makes a replica look slow. Replicas that
 * are all slow are under load: a breaker opens for slowness only while another
 * replica is closed and faster, and closes when that is no longer so.
 */
class ReplicaGuards {
 public:
  ReplicaGuards(std::uint64_t seed, BreakerHook on_change);

  /** Takes a newer view; nullptr if the database is gone. What was known of
   * members that are still there is kept. A replica that a later view than the
   * first adds starts slowly. */
  void Rebuild(std::chrono::steady_clock::time_point now,
               const DatabaseView* view);

  /** The replicas that the next read passes over. Each call counts as a
   * read. */
  MemberSet PassedOver(std::chrono::steady_clock::time_point now);

  /** How many members there are, and for how long one that owes answers has
   * given none; zero for one that owes none. */
  std::size_t Places() const { return this->guards.size(); }
  std::chrono::nanoseconds Silence(std::chrono::steady_clock::time_point now,
                                   std::size_t place) const;

  /** A replica whose breaker wants the next read as its try. */
  std::optional<std::size_t> TryDue(
      std::chrono::steady_clock::time_point now) const;

  /** Every place but one, so that only that one can be chosen. */
  MemberSet AllBut(std::size_t place) const;

  /** Takes that a read was sent to a place. */
  void OnSent(std::chrono::steady_clock::time_point now, std::size_t place);

  /** Takes the outcome of a read that was sent since the last Rebuild. Returns
   * whether the replica has just returned, so that what was learnt of its
   * answer times is out of date. */
  bool OnOutcome(std::chrono::steady_clock::time_point now, std::size_t place,
                 const Outcome& outcome);

 private:
  struct Guard {
    MemberId member;
    CircuitBreaker breaker;
    bool replica = false;
    SlowStart slow_start{};
    /** The usual and the least time of an answer; zero before the first. */
    std::chrono::nanoseconds usual{0};
    std::chrono::nanoseconds fastest{0};
    std::size_t outstanding = 0;
    /** Since when something is outstanding and nothing came. */
    std::chrono::steady_clock::time_point silent_since{};
    /** Whether the breaker is open for slowness, not for failures. */
    bool slow = false;
  };

  Guard MakeGuard(const RoutedMember& member) const;
  /** The least time to expect of the other closed replicas; none without
   * one. */
  std::optional<std::chrono::nanoseconds> BestPeer(const Guard& guard) const;
  bool TooSlow(const Guard& guard, std::chrono::nanoseconds time) const;
  bool OnAnswer(std::chrono::steady_clock::time_point now, Guard& guard,
                std::chrono::nanoseconds time);
  void OnFailure(std::chrono::steady_clock::time_point now, Guard& guard);
  void OnSilence(std::chrono::steady_clock::time_point now, Guard& guard);
  void CloseUnderLoad(std::chrono::steady_clock::time_point now);

  std::uint64_t seed;
  BreakerHook on_change;
  std::vector<Guard> guards;
  bool first_view = true;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_REPLICA_GUARDS_H_
