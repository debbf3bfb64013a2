#ifndef LACEWINGFERRY_DECISIONS_CHOICE_READ_ROUTING_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_READ_ROUTING_H_

// Defines RouteTable, the choice of the member that serves a request and of
// the proxy that owns a connection to it.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/core/statement.h"
#include "lacewingferry/decisions/choice/member_set.h"

namespace lacewingferry {

/** Where a request goes. The pointers stay valid until the next Rebuild. */
struct RouteDecision {
  std::size_t place = 0;
  const MemberId* member = nullptr;
  /** The proxy that owns a connection; nullptr for this proxy itself. */
  const NodeId* owner = nullptr;
  /** The time that the answer takes on its way back at the least. */
  std::chrono::nanoseconds return_time{0};
};

/**
 * Chooses among the members of one database. A read that a replica may serve
 * goes to the untried replica with the least expected answer time, where one
 * of the own zone starts out ahead. A replica that was just heard to be far
 * older than the read allows is passed over. The primary comes last, so that
 * reads don't take its slots from writes. All else goes to the primary.
 */
class RouteTable {
 public:
  /** Takes a newer view; nullptr if the database is gone. Estimates of members
   * that are still there are kept. */
  void Rebuild(const DatabaseView* view, const AvailabilityZone& zone,
               const NodeId& node);

  /** Chooses; none if no member that was not tried can serve the request.
   * Allocates nothing. */
  std::optional<RouteDecision> Choose(std::chrono::steady_clock::time_point now,
                                      const StatementRequest& request,
                                      const MemberSet& tried);

  /** Whether the primary is in this proxy's zone. */
  bool PrimaryIsNear() const;

  /** Takes how long an answer or a refusal of a member took. */
  void Observe(std::size_t place, std::chrono::nanoseconds answer_time);

  /** Takes for how long a member that owes answers has given none; zero for one
   * that owes none. */
  void ObserveSilence(std::size_t place, std::chrono::nanoseconds silence);

  /** Takes that what was learnt of a member's answer times no longer holds. */
  void Forget(std::size_t place);

  /** Takes how old a replica's data was at a time. */
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
    /** How old the data was when that was last heard of. */
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
