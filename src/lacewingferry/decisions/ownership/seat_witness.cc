#include "lacewingferry/decisions/ownership/seat_witness.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lacewingferry {

using std::chrono::steady_clock;

namespace {

/** No member has more slots; a wish that states more is cut. */
constexpr std::uint32_t kMostSlots = 10000;

}  // namespace

SeatWitness::SeatWitness(steady_clock::time_point started,
                         SeatTimings seat_timings)
    : timings(seat_timings), silent_until(started + seat_timings.grant) {}

// What an earlier run of the proxy held is not the later run's to release: its
// connections may still be open at the member. Those seats run out instead.
void SeatWitness::Release(const NodeId& from, const SeatClaim& claim) {
  for (const Seat& seat : claim.released) {
    const auto found = this->given.find(seat);
    const bool own = found != this->given.end() &&
                     found->second.holder == from &&
                     found->second.incarnation == claim.incarnation;
    if (own) this->given.erase(found);
  }
}

bool SeatWitness::GiveOne(steady_clock::time_point now, const NodeId& to,
                          std::uint64_t incarnation, const Seat& seat) {
  const auto found = this->given.find(seat);
  const bool taken = found != this->given.end() && found->second.until > now;
  const bool own = taken && found->second.holder == to &&
                   found->second.incarnation == incarnation;
  if (taken && !own) return false;
  this->given[seat] = Given{to, incarnation, now + this->timings.grant};
  return true;
}

void SeatWitness::GiveWish(steady_clock::time_point now, const NodeId& to,
                           const SeatWish& wish, SeatGrant& grant) {
  std::uint32_t added = 0;
  const std::uint32_t slots = std::min(wish.slots, kMostSlots);
  for (std::uint32_t i = 0; i < slots && added < wish.count; ++i) {
    const Seat seat{wish.member, wish.from_end ? slots - 1 - i : i};
    const auto known = this->given.find(seat);
    if (known != this->given.end() && known->second.until > now) continue;
    if (!this->GiveOne(now, to, grant.incarnation, seat)) continue;
    grant.seats.push_back(seat);
    ++added;
  }
}

void SeatWitness::Renew(steady_clock::time_point now, const NodeId& from,
                        const LastClaim& claim, SeatGrant& grant) {
  std::vector<Seat> renewed;
  for (const Seat& seat : claim.renewed) {
    if (this->GiveOne(now, from, claim.incarnation, seat)) {
      renewed.push_back(seat);
    }
  }
  grant.list = claim.list;
  grant.all = claim.list != 0 && renewed.size() == claim.renewed.size();
  if (!grant.all) grant.seats = std::move(renewed);
}

SeatGrant SeatWitness::OnClaim(steady_clock::time_point now, const NodeId& from,
                               const SeatClaim& claim) {
  SeatGrant grant;
  grant.zone = claim.zone;
  grant.incarnation = claim.incarnation;
  grant.sequence = claim.sequence;
  LastClaim& previous = this->last[from];
  const bool newer = std::tie(previous.incarnation, previous.sequence) <
                     std::tie(claim.incarnation, claim.sequence);
  if (!newer || now < this->silent_until) return grant;
  const bool same_run = previous.incarnation == claim.incarnation;
  const bool known = same_run && previous.list == claim.list;
  previous.incarnation = claim.incarnation;
  previous.sequence = claim.sequence;
  if (!known) {
    // A number without its list is of no use.
    previous.list = claim.renewed.empty() ? 0 : claim.list;
    previous.renewed = claim.renewed;
  }
  this->Release(from, claim);
  this->Renew(now, from, previous, grant);
  for (const SeatWish& wish : claim.wishes) {
    this->GiveWish(now, from, wish, grant);
  }
  return grant;
}

}  // namespace lacewingferry
