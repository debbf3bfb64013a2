#include "lacewingferry/decisions/ownership/seat_witness.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lacewingferry {

using std::chrono::steady_clock;

namespace {

/** Maximum slots of a member; a wish that states more is cut to this. */
constexpr std::uint32_t kMaxSlots = 10000;

}  // namespace

SeatWitness::SeatWitness(steady_clock::time_point started,
                         SeatTimings seat_timings)
    : timings(seat_timings), no_grants_until(started + seat_timings.grant) {}

// Seats that an earlier run of the proxy held can't be released by a later one,
// since the earlier run's connections may still be open at the member. Those
// seats expire instead.
void SeatWitness::Release(const NodeId& from, const SeatClaim& claim) {
  for (const Seat& seat : claim.released) {
    const auto found = this->granted.find(seat);
    const bool own = found != this->granted.end() &&
                     found->second.holder == from &&
                     found->second.incarnation == claim.incarnation;
    if (own) this->granted.erase(found);
  }
}

bool SeatWitness::GrantSeat(steady_clock::time_point now, const NodeId& to,
                            std::uint64_t incarnation, const Seat& seat) {
  const auto found = this->granted.find(seat);
  const bool taken = found != this->granted.end() && found->second.until > now;
  const bool own = taken && found->second.holder == to &&
                   found->second.incarnation == incarnation;
  if (taken && !own) return false;
  this->granted[seat] = GrantedSeat{to, incarnation, now + this->timings.grant};
  return true;
}

void SeatWitness::GrantWish(steady_clock::time_point now, const NodeId& to,
                            const SeatWish& wish, SeatGrant& grant) {
  std::uint32_t added = 0;
  const std::uint32_t slots = std::min(wish.slots, kMaxSlots);
  for (std::uint32_t i = 0; i < slots && added < wish.count; ++i) {
    const Seat seat{wish.member, wish.from_end ? slots - 1 - i : i};
    const auto known = this->granted.find(seat);
    if (known != this->granted.end() && known->second.until > now) continue;
    if (!this->GrantSeat(now, to, grant.incarnation, seat)) continue;
    grant.seats.push_back(seat);
    ++added;
  }
}

void SeatWitness::Renew(steady_clock::time_point now, const NodeId& from,
                        const LastClaim& claim, SeatGrant& grant) {
  std::vector<Seat> renewed;
  for (const Seat& seat : claim.renewed) {
    if (this->GrantSeat(now, from, claim.incarnation, seat)) {
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
  LastClaim& previous = this->last_claims[from];
  const bool newer = std::tie(previous.incarnation, previous.sequence) <
                     std::tie(claim.incarnation, claim.sequence);
  if (!newer || now < this->no_grants_until) return grant;
  const bool same_run = previous.incarnation == claim.incarnation;
  const bool known = same_run && previous.list == claim.list;
  previous.incarnation = claim.incarnation;
  previous.sequence = claim.sequence;
  if (!known) {
    // The number of a list whose seats are unknown is useless.
    previous.list = claim.renewed.empty() ? 0 : claim.list;
    previous.renewed = claim.renewed;
  }
  this->Release(from, claim);
  this->Renew(now, from, previous, grant);
  for (const SeatWish& wish : claim.wishes) {
    this->GrantWish(now, from, wish, grant);
  }
  return grant;
}

}  // namespace lacewingferry
