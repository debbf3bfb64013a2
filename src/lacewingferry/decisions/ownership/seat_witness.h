#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_WITNESS_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_WITNESS_H_

// Defines SeatWitness, one voter on which proxy holds each slot of a member.

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/messages/seat_messages.h"
#include "lacewingferry/decisions/ownership/seat_timings.h"

namespace lacewingferry {

/**
 * Grants each seat to one run of a proxy at a time, and to another only after
 * the first has released it or has not renewed it within the grant time. A
 * restart loses the grants, so a witness grants nothing for the grant time
 * after it starts.
 */
class SeatWitness {
 public:
  SeatWitness(std::chrono::steady_clock::time_point started,
              SeatTimings timings);

  /** Handles a proxy's claim and returns what is granted; nothing for a claim
   * that was overtaken by a later one. */
  SeatGrant OnClaim(std::chrono::steady_clock::time_point now,
                    const NodeId& from, const SeatClaim& claim);

 private:
  struct GrantedSeat {
    NodeId holder;
    std::uint64_t incarnation = 0;
    std::chrono::steady_clock::time_point until;
  };
  struct LastClaim {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /** The seats that the proxy renews, and the number of that list; 0 if none
     * is known. */
    std::uint64_t list = 0;
    std::vector<Seat> renewed;
  };

  bool GrantSeat(std::chrono::steady_clock::time_point now, const NodeId& to,
                 std::uint64_t incarnation, const Seat& seat);
  void Renew(std::chrono::steady_clock::time_point now, const NodeId& from,
             const LastClaim& claim, SeatGrant& grant);
  void Release(const NodeId& from, const SeatClaim& claim);
  void GrantWish(std::chrono::steady_clock::time_point now, const NodeId& to,
                 const SeatWish& wish, SeatGrant& grant);

  SeatTimings timings;
  std::chrono::steady_clock::time_point no_grants_until;
  std::map<Seat, GrantedSeat> granted;
  std::map<NodeId, LastClaim> last_claims;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_WITNESS_H_
