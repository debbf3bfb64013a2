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

/** A proxy's wishes, and the seats that it renews or gives back. */
struct SeatClaim {
  std::uint64_t incarnation = 0;
  /** Rises with each claim of one run of the proxy. */
  std::uint64_t sequence = 0;
  std::vector<Seat> renewed;
  std::vector<Seat> released;
  std::vector<SeatWish> wishes;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("incarnation", self.incarnation);
    visit("sequence", self.sequence);
    visit("renewed", self.renewed);
    visit("released", self.released);
    visit("wishes", self.wishes);
  }
};

/** A witness's answer to a claim. */
struct SeatGrant {
  std::uint64_t incarnation = 0;
  /** The sequence of the claim. */
  std::uint64_t sequence = 0;
  std::vector<Seat> seats;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("incarnation", self.incarnation);
    visit("sequence", self.sequence);
    visit("seats", self.seats);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_SEAT_MESSAGES_H_
