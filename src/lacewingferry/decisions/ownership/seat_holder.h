#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_HOLDER_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_HOLDER_H_

// Defines SeatHolder, the slots that one proxy holds under its witnesses'
// grants.

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

/** What a SeatHolder acts through. */
struct SeatHolderHooks {
  /** Sends a claim to a witness, which may be this proxy itself. */
  std::function<void(const NodeId&, const SeatClaim&)> send;
  /** Connections that this proxy has to a member now, also those being
   * opened. */
  std::function<std::size_t(const MemberId&)> connections;
};

/**
 * Holds the seats of the members of one availability zone. Holds a seat while a
 * majority of the witnesses granted it, counted from when the claim was sent
 * and by this proxy's own clock. Two proxies can't hold one seat at a time, for
 * their majorities share a witness. For a time after the witnesses changed a
 * majority of the earlier ones is needed as well, as some proxies still ask
 * those.
 *
 * A seat that is no longer wanted is renewed until the connection that uses it
 * is closed and the member has had the time to notice.
 */
class SeatHolder {
 public:
  SeatHolder(AvailabilityZone zone, std::vector<NodeId> witnesses,
             SeatTimings timings, SeatHolderHooks hooks,
             std::uint64_t incarnation);

  /** Takes the witnesses of a newer configuration. */
  void SetWitnesses(std::chrono::steady_clock::time_point now,
                    std::vector<NodeId> witnesses);

  /** Sets how many seats in all of which members this proxy should hold. It
   * keeps those that it has. */
  void Want(std::vector<SeatWish> wishes);

  /** Takes a witness's answer. */
  void OnGrant(std::chrono::steady_clock::time_point now, const NodeId& from,
               const SeatGrant& grant);

  /** Sends the claims that are due. Returns whether any were; seats may then
   * have been given back. */
  bool OnTick(std::chrono::steady_clock::time_point now);

  /** Adds until when each seat that is held now may be used. A connection
   * above them has to be closed at once. */
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
    /** When each witness's newest grant of the seat was asked for. */
    std::map<NodeId, std::chrono::steady_clock::time_point> granted;
    /** Until when a majority's grants last. */
    std::chrono::steady_clock::time_point until;
    std::chrono::steady_clock::time_point first_granted;
  };

  /** Witnesses and until when a majority of them is needed. */
  struct WitnessSet {
    std::vector<NodeId> nodes;
    std::chrono::steady_clock::time_point until;
  };
  struct Sent {
    std::chrono::steady_clock::time_point at;
    /** The list that the claim renewed. */
    std::vector<Seat> renewed;
  };

  std::uint32_t WantedOf(const MemberId& member) const;
  void SendClaim(SeatClaim claim);
  void TakeSeat(std::chrono::steady_clock::time_point now, const NodeId& from,
                const Seat& seat, const SeatGrant& grant,
                std::chrono::steady_clock::time_point asked);
  void DropSurplus(std::chrono::steady_clock::time_point now, SeatClaim& claim);
  void DropSurplusOf(std::chrono::steady_clock::time_point now,
                     const MemberId& member, SeatClaim& claim);
  void AddWishes(SeatClaim& claim) const;
  void Drop(const Seat& seat, SeatClaim& claim);
  void UpdateUntil(Held& held) const;

  AvailabilityZone zone;
  /** The newest last. */
  std::vector<WitnessSet> witnesses;
  SeatTimings timings;
  SeatHolderHooks hooks;
  std::uint64_t incarnation;
  std::uint64_t sequence = 0;
  std::vector<SeatWish> wanted;
  std::map<Seat, Held> seats;
  /** The claim by which a seat was given back; earlier grants are void. */
  std::map<Seat, std::uint64_t> dropped_at;
  /** Since when this proxy has held more seats than it wants or uses. */
  std::map<MemberId, std::chrono::steady_clock::time_point> surplus_since;
  /** The claims that may still be answered. */
  std::map<std::uint64_t, Sent> sent;
  /** The seats that the last claim renewed, the claim since which they are the
   * same, and the list that each witness has shown to know. */
  std::vector<Seat> renewed;
  std::uint64_t list = 0;
  std::map<NodeId, std::uint64_t> known_lists;
  std::chrono::steady_clock::time_point next_claim;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_HOLDER_H_
