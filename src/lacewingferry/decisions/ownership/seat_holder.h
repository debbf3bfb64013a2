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
 * Holds a seat while a majority of the witnesses granted it, counted from when
 * the claim was sent and by this proxy's own clock. Two proxies can't hold one
 * seat at a time, for their majorities share a witness.
 *
 * A seat that is no longer wanted is renewed until the connection that uses it
 * is closed and the member has had the time to notice.
 */
class SeatHolder {
 public:
  SeatHolder(std::vector<NodeId> witnesses, SeatTimings timings,
             SeatHolderHooks hooks, std::uint64_t incarnation);

  /** Sets how many seats in all of which members this proxy should hold. It
   * keeps those that it has. */
  void Want(std::vector<SeatWish> wishes);

  /** Takes a witness's answer. */
  void OnGrant(std::chrono::steady_clock::time_point now, const NodeId& from,
               const SeatGrant& grant);

  /** Sends the claims that are due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** How many connections to a member may exist now. Those above it have to
   * be closed at once. */
  std::uint32_t Allowed(std::chrono::steady_clock::time_point now,
                        const MemberId& member) const;

  /** How many connections to a member this proxy should keep: what is allowed
   * of what it wants. Those above it are closed as they fall idle. */
  std::uint32_t Target(std::chrono::steady_clock::time_point now,
                       const MemberId& member) const;

  /** When something is due next: a claim, or the end of a grant. */
  std::chrono::steady_clock::time_point NextWakeup(
      std::chrono::steady_clock::time_point now) const;

 private:
  struct Held {
    /** When each witness's newest grant of the seat was asked for. */
    std::map<NodeId, std::chrono::steady_clock::time_point> granted;
    /** Until when a majority's grants last. */
    std::chrono::steady_clock::time_point until;
    std::chrono::steady_clock::time_point first_granted;
  };

  std::uint32_t WantedOf(const MemberId& member) const;
  void DropSurplus(std::chrono::steady_clock::time_point now, SeatClaim& claim);
  void DropSurplusOf(std::chrono::steady_clock::time_point now,
                     const MemberId& member, SeatClaim& claim);
  void AddWishes(SeatClaim& claim) const;
  void Drop(const Seat& seat, SeatClaim& claim);
  void UpdateUntil(Held& held) const;

  std::vector<NodeId> witnesses;
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
  /** When each claim that may still be answered was sent. */
  std::map<std::uint64_t, std::chrono::steady_clock::time_point> sent;
  std::chrono::steady_clock::time_point next_claim;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_SEAT_HOLDER_H_
