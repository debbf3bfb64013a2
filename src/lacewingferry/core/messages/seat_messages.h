#ifndef LACEWINGFERRY_CORE_MESSAGES_SEAT_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_SEAT_MESSAGES_H_

// Defines the messages by which the proxies of an availability zone share the
// slots of its members.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** One slot of a member. Slots are numbered from 0. */
struct Seat {
  MemberId member;
  std::uint32_t number = 0;

  friend bool operator<(const Seat& a, const Seat& b) {
    return a.member != b.member ? a.member < b.member : a.number < b.number;
  }
  friend bool operator==(const Seat& a, const Seat& b) {
    return a.member == b.member && a.number == b.number;
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("member", self.member);
    visit("number", self.number);
  }
};

/** How many more seats of a member a proxy wants. */
struct SeatWish {
  MemberId member;
  std::uint32_t count = 0;
  /** The member's slots. */
  std::uint32_t slots = 0;
  /** Whether free seats are taken from the last one on, so that two proxies
   * that want seats at once don't want the same. */
  bool from_end = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("member", self.member);
    visit("count", self.count);
    visit("slots", self.slots);
    visit("from_end", self.from_end);
  }
};

/** A proxy's wishes, and the seats that it renews or gives back, all of
 * members of one availability zone. */
struct SeatClaim {
  AvailabilityZone zone;
  std::uint64_t incarnation = 0;
  /** Rises with each claim of one run of the proxy. */
  std::uint64_t sequence = 0;
  /** The number of the list of renewed seats; 0 if none is renewed. */
  std::uint64_t list = 0;
  /** The list, or nothing where the witness has shown that it knows it. */
  std::vector<Seat> renewed;
  std::vector<Seat> released;
  std::vector<SeatWish> wishes;
  /** Tells the newest witnesses that the proxy knows from others, and whether
   * it asks earlier ones as well. */
  std::uint64_t witnesses = 0;
  bool joint = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("zone", self.zone);
    visit("incarnation", self.incarnation);
    visit("sequence", self.sequence);
    visit("list", self.list);
    visit("renewed", self.renewed);
    visit("released", self.released);
    visit("wishes", self.wishes);
    visit("witnesses", self.witnesses);
    visit("joint", self.joint);
  }
};

/** A witness's answer to a claim. */
struct SeatGrant {
  AvailabilityZone zone;
  std::uint64_t incarnation = 0;
  /** The sequence of the claim. */
  std::uint64_t sequence = 0;
  /** The list that the witness knows; 0 if none. */
  std::uint64_t list = 0;
  /** Whether the whole list is granted. */
  bool all = false;
  /** What is granted besides. */
  std::vector<Seat> seats;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("zone", self.zone);
    visit("incarnation", self.incarnation);
    visit("sequence", self.sequence);
    visit("list", self.list);
    visit("all", self.all);
    visit("seats", self.seats);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_SEAT_MESSAGES_H_
