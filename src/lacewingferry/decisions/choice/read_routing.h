#ifndef LACEWINGFERRY_DECISIONS_CHOICE_READ_ROUTING_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_READ_ROUTING_H_

// Defines RouteTable, which chooses the member that serves a request and the
// proxy that owns a connection to it.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/core/statement.h"
#include "lacewingferry/decisions/choice/member_set.h"

namespace lacewingferry {

/** The destination of a request. The pointers stay valid until the next
 * Rebuild. */
struct RouteDecision {
  std::size_t place = 0;
  const MemberId* member = nullptr;
  /** The proxy that owns the connection; nullptr for this proxy itself. */
  const NodeId* owner = nullptr;
  /** A lower estimate of how long the answer takes to travel back. */
  std::chrono::nanoseconds return_time{0};
};

/**
 * Chooses among the members of one database. A read that a replica may serve
 * goes to the untried replica with the least expected answer time; replicas of
 * the own zone start with a lower estimate. A replica that recently reported
 * data far older than the read allows is skipped. The primary is the last
 * choice, so that reads don't take its slots from writes. All other requests go
 * to the primary.
 */
class RouteTable {
 public:
  /** Applies a newer view; nullptr if the database is gone. Estimates of
   * members that are still there are kept. */
  void Rebuild(const DatabaseView* view, const AvailabilityZone& zone,
               const NodeId& node);

  /** Chooses a route; none if no untried member can serve the request. Doesn't
   * allocate. */
  std::optional<RouteDecision> Choose(std::chrono::steady_clock::time_point now,
                                      const StatementRequest& request,
                                      const MemberSet& tried);

  /** Whether the primary is in this proxy's zone. */
  bool PrimaryInZone() const;

  /** Records how long an answer or a refusal of a member took. */
  void Observe(std::size_t place, std::chrono::nanoseconds answer_time);

  /** Records how long a member with outstanding requests has not answered; zero
   * for one without any. */
  void ObserveSilence(std::size_t place, std::chrono::nanoseconds silence);

  /** Resets the expected answer time of a member to its initial value. */
  void ResetEstimate(std::size_t place);

  /** Records the age of a replica's data at a time. */
  void ObserveAge(std::chrono::steady_clock::time_point now, std::size_t place,
                  std::chrono::milliseconds age);

 private:
  struct Owner {
    NodeId node;
    std::uint32_t slots = 0;
  };
  struct Route {
    MemberId member;
    bool usable = false;
    bool own_zone = false;
    /** Whether this proxy owns a connection. */
    bool owned = false;
    std::vector<Owner> owners;
    std::uint32_t slots = 0;
    std::chrono::nanoseconds expected{0};
    std::chrono::nanoseconds fastest{0};
    std::chrono::nanoseconds silence{0};
    /** The age of the data as last reported. */
    std::chrono::milliseconds age{0};
    std::chrono::steady_clock::time_point age_until;
  };

  std::optional<std::size_t> ChooseReplica(
      std::chrono::steady_clock::time_point now,
      const StatementRequest& request, const MemberSet& tried) const;
  const NodeId* PickOwner(const Route& route) const;

  std::vector<Route> routes;
  std::optional<std::size_t> primary;
  std::uint64_t turn = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_READ_ROUTING_H_
