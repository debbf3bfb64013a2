#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_HOLDER_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_HOLDER_H_

// Defines SeatHolder, the seats that one proxy holds by its witnesses' grants.
// A seat is the right to use one slot of a member.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/messages/seat_messages.h"
#include "lacewingferry/decisions/ownership/seat_timings.h"

namespace lacewingferry {

/** Functions that a SeatHolder calls. */
struct SeatHolderHooks {
  /** Sends a claim to a witness, which may be this proxy itself. */
  std::function<void(const NodeId&, const SeatClaim&)> send;
  /** The connections that this proxy has to a member now, including those being
   * opened. */
  std::function<std::size_t(const MemberId&)> connections;
};

/**
 * Holds the seats of the members of one availability zone. A seat is held while
 * grants from a majority of the witnesses are valid, counted from when the
 * claim was sent and by this proxy's own clock. Two proxies can't hold the same
 * seat at a time, because any two majorities share a witness. For some time
 * after the witnesses change, a majority of the earlier ones is needed as well,
 * since some proxies still ask those.
 *
 * A seat that is no longer wanted is renewed until the connection that uses it
 * is closed and the member has had time to notice.
 */
class SeatHolder {
 public:
  SeatHolder(AvailabilityZone zone, std::vector<NodeId> witnesses,
             SeatTimings timings, SeatHolderHooks hooks,
             std::uint64_t incarnation);

  /** Sets the witnesses of a newer configuration. */
  void SetWitnesses(std::chrono::steady_clock::time_point now,
                    std::vector<NodeId> witnesses);

  /** Sets the total number of seats that this proxy should hold of each member.
   * It keeps those that it has. */
  void SetWishes(std::vector<SeatWish> wishes);

  /** Handles a witness's answer. */
  void OnGrant(std::chrono::steady_clock::time_point now, const NodeId& from,
               const SeatGrant& grant);

  /** Sends the claims that are due. Returns whether any were; seats may then
   * have been released. */
  bool OnTick(std::chrono::steady_clock::time_point now);

  /** Adds the expiry of each seat that is held now. Connections in excess of
   * the seats have to be closed at once. */
  void AddEnds(
      std::chrono::steady_clock::time_point now,
      std::map<MemberId, std::vector<std::chrono::steady_clock::time_point>>&
          ends) const;

  /** When OnTick is due next. */
  std::chrono::steady_clock::time_point NextClaim() const {
    return this->next_claim;
  }

 private:
  struct Held {
    /** When the claim behind each witness's newest grant was sent. */
    std::map<NodeId, std::chrono::steady_clock::time_point> granted;
    /** Until when the grants of a majority are valid. */
    std::chrono::steady_clock::time_point until;
    std::chrono::steady_clock::time_point first_granted;
  };

  /** Witnesses, and until when a majority of them is needed. */
  struct WitnessSet {
    std::vector<NodeId> nodes;
    std::chrono::steady_clock::time_point until;
  };
  struct Sent {
    std::chrono::steady_clock::time_point at;
    /** The seats that the claim renewed. */
    std::vector<Seat> renewed;
  };

  std::uint32_t WantedSeats(const MemberId& member) const;
  void SendClaim(SeatClaim claim);
  void RecordGrant(std::chrono::steady_clock::time_point now,
                   const NodeId& from, const Seat& seat, const SeatGrant& grant,
                   std::chrono::steady_clock::time_point asked);
  void ReleaseSurplus(std::chrono::steady_clock::time_point now,
                      SeatClaim& claim);
  void ReleaseSurplusOfMember(std::chrono::steady_clock::time_point now,
                              const MemberId& member, SeatClaim& claim);
  void AddWishes(SeatClaim& claim) const;
  void Release(const Seat& seat, SeatClaim& claim);
  void UpdateUntil(Held& held) const;

  AvailabilityZone zone;
  /** Ordered by age; the newest set is last. */
  std::vector<WitnessSet> witnesses;
  SeatTimings timings;
  SeatHolderHooks hooks;
  std::uint64_t incarnation;
  std::uint64_t sequence = 0;
  std::vector<SeatWish> wanted;
  std::map<Seat, Held> seats;
  /** The sequence number of the claim that released a seat. Grants for earlier
   * claims are void. */
  std::map<Seat, std::uint64_t> released_by;
  /** Since when this proxy has held more seats than it wants or uses. */
  std::map<MemberId, std::chrono::steady_clock::time_point> surplus_since;
  /** The claims that may still be answered. */
  std::map<std::uint64_t, Sent> sent;
  /** The seats that the last claim renewed, the sequence number of the claim
   * since which they are the same, and the list that each witness has
   * confirmed. */
  std::vector<Seat> renewed;
  std::uint64_t list = 0;
  std::map<NodeId, std::uint64_t> known_lists;
  std::chrono::steady_clock::time_point next_claim;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_HOLDER_H_
