#ifndef LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_CHOICE_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_CHOICE_H_

// Defines MemberChoice, which chooses the member for each request and learns
// from the outcomes.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/decisions/choice/read_routing.h"
#include "lacewingferry/decisions/choice/replica_guards.h"

namespace lacewingferry {

/** An attempt that has ended. */
struct EndedAttempt {
  std::size_t place = 0;
  bool read = false;
  /** The time from sending the request to its outcome. */
  std::chrono::nanoseconds took{0};
};

/** Chooses by a RouteTable among the members that the ReplicaGuards admit. */
class MemberChoice {
 public:
  /** The seed makes the pauses of different proxies differ. */
  MemberChoice(std::uint64_t seed, BreakerHook on_change);

  /** Applies a newer view; nullptr if the database is gone. */
  void Rebuild(std::chrono::steady_clock::time_point now,
               const DatabaseView* view, const AvailabilityZone& zone,
               const NodeId& node);

  /** Chooses a member for a request outside a transaction and records that the
   * request is sent there; none if no untried member can serve it. */
  std::optional<RouteDecision> Choose(std::chrono::steady_clock::time_point now,
                                      const StatementRequest& request,
                                      const MemberSet& tried);

  /** See RouteTable. */
  bool PrimaryInZone() const { return this->routes.PrimaryInZone(); }

  /** Records the outcome of a request that was sent since the last Rebuild. */
  void OnOutcome(std::chrono::steady_clock::time_point now,
                 const EndedAttempt& attempt, const Outcome& outcome);

 private:
  std::optional<RouteDecision> ChooseForRead(
      std::chrono::steady_clock::time_point now,
      const StatementRequest& request, const MemberSet& tried);

  RouteTable routes;
  ReplicaGuards guards;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_CHOICE_H_
