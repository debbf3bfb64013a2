#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_WITNESS_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_WITNESS_H_

// Defines SeatWitness, one vote on which proxy holds which slot of a member.

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/messages/seat_messages.h"
#include "lacewingferry/decisions/ownership/seat_timings.h"

namespace lacewingferry {

/**
 * Gives each seat to one run of a proxy at a time, and to another only after
 * that one released it or didn't renew it for the time of a grant. What a
 * witness gave is lost when it restarts, so it gives nothing for that time
 * after a start.
 */
class SeatWitness {
 public:
  SeatWitness(std::chrono::steady_clock::time_point started,
              SeatTimings timings);

  /** Takes a proxy's claim and returns what of it is granted; nothing for a
   * claim that a later one has overtaken. */
  SeatGrant OnClaim(std::chrono::steady_clock::time_point now,
                    const NodeId& from, const SeatClaim& claim);

 private:
  struct Given {
    NodeId holder;
    std::uint64_t incarnation = 0;
    std::chrono::steady_clock::time_point until;
  };
  struct LastClaim {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /** The list that the proxy renews and its number; 0 if none is known. */
    std::uint64_t list = 0;
    std::vector<Seat> renewed;
  };

  bool GiveOne(std::chrono::steady_clock::time_point now, const NodeId& to,
               std::uint64_t incarnation, const Seat& seat);
  void Renew(std::chrono::steady_clock::time_point now, const NodeId& from,
             const LastClaim& claim, SeatGrant& grant);
  void Release(const NodeId& from, const SeatClaim& claim);
  void GiveWish(std::chrono::steady_clock::time_point now, const NodeId& to,
                const SeatWish& wish, SeatGrant& grant);

  SeatTimings timings;
  std::chrono::steady_clock::time_point silent_until;
  std::map<Seat, Given> given;
  std::map<NodeId, LastClaim> last;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_WITNESS_H_
