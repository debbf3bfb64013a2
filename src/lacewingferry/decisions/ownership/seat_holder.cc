#include "lacewingferry/decisions/ownership/seat_holder.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewingferry {

using std::chrono::steady_clock;

SeatHolder::SeatHolder(std::vector<NodeId> seat_witnesses,
                       SeatTimings seat_timings, SeatHolderHooks holder_hooks,
                       std::uint64_t run)
    : witnesses(std::move(seat_witnesses)),
      timings(seat_timings),
      hooks(std::move(holder_hooks)),
      incarnation(run) {}

void SeatHolder::Want(std::vector<SeatWish> wishes) {
  this->wanted = std::move(wishes);
}

std::uint32_t SeatHolder::WantedOf(const MemberId& member) const {
  for (const SeatWish& wish : this->wanted) {
    if (wish.member == member) return wish.count;
  }
  return 0;
}

void SeatHolder::Drop(const Seat& seat, SeatClaim& claim) {
  this->seats.erase(seat);
  this->dropped_at[seat] = claim.sequence;
  claim.released.push_back(seat);
}

// A seat that only a minority granted is given back, so that another proxy
// that has the rest may get it.
void SeatHolder::DropSurplus(steady_clock::time_point now, SeatClaim& claim) {
  std::vector<Seat> partial;
  std::set<MemberId> members;
  for (const auto& [seat, held] : this->seats) {
    const bool waited = held.first_granted + 3 * this->timings.renewal < now;
    if (held.until <= now && waited) partial.push_back(seat);
    members.insert(seat.member);
  }
  for (const Seat& seat : partial) this->Drop(seat, claim);
  for (const MemberId& member : members) {
    this->DropSurplusOf(now, member, claim);
  }
}

void SeatHolder::DropSurplusOf(steady_clock::time_point now,
                               const MemberId& member, SeatClaim& claim) {
  const auto needed = std::max<std::size_t>(this->WantedOf(member),
                                            this->hooks.connections(member));
  std::vector<Seat> held;
  for (const auto& entry : this->seats) {
    if (entry.first.member == member) held.push_back(entry.first);
  }
  // Those that a majority granted for longest are kept.
  std::stable_sort(held.begin(), held.end(),
                   [this](const Seat& a, const Seat& b) {
                     return this->seats.at(a).until > this->seats.at(b).until;
                   });
  if (held.size() <= needed) {
    this->surplus_since.erase(member);
    return;
  }
  const auto since = this->surplus_since.emplace(member, now).first->second;
  if (now < since + this->timings.margin) return;
  for (std::size_t i = needed; i < held.size(); ++i) {
    this->Drop(held[i], claim);
  }
  this->surplus_since.erase(member);
}

void SeatHolder::AddWishes(SeatClaim& claim) const {
  for (SeatWish wish : this->wanted) {
    std::uint32_t held = 0;
    for (const auto& entry : this->seats) {
      if (entry.first.member == wish.member) ++held;
    }
    wish.count -= std::min(wish.count, held);
    if (wish.count > 0) claim.wishes.push_back(wish);
  }
}

void SeatHolder::OnTick(steady_clock::time_point now) {
  if (now < this->next_claim) return;
  this->next_claim = now + this->timings.renewal;
  SeatClaim claim;
  claim.incarnation = this->incarnation;
  claim.sequence = ++this->sequence;
  this->DropSurplus(now, claim);
  this->AddWishes(claim);
  for (const auto& entry : this->seats) claim.renewed.push_back(entry.first);
  while (!this->sent.empty() &&
         this->sent.begin()->second + this->timings.grant <= now) {
    this->sent.erase(this->sent.begin());
  }
  this->sent[claim.sequence] = now;
  for (const NodeId& witness : this->witnesses) {
    this->hooks.send(witness, claim);
  }
}

void SeatHolder::OnGrant(steady_clock::time_point now, const NodeId& from,
                         const SeatGrant& grant) {
  if (grant.incarnation != this->incarnation) return;
  const auto sent_at = this->sent.find(grant.sequence);
  if (sent_at == this->sent.end()) return;
  if (sent_at->second + this->timings.grant <= now) return;
  for (const Seat& seat : grant.seats) {
    const auto dropped = this->dropped_at.find(seat);
    if (dropped != this->dropped_at.end() &&
        grant.sequence <= dropped->second) {
      continue;
    }
    const auto added = this->seats.emplace(seat, Held{});
    Held& held = added.first->second;
    if (added.second) held.first_granted = now;
    auto& granted = held.granted[from];
    granted = std::max(granted, sent_at->second);
    this->UpdateUntil(held);
  }
}

void SeatHolder::UpdateUntil(Held& held) const {
  const std::size_t majority = this->witnesses.size() / 2 + 1;
  if (held.granted.size() < majority) return;
  std::vector<steady_clock::time_point> asked;
  for (const auto& entry : held.granted) asked.push_back(entry.second);
  std::sort(asked.rbegin(), asked.rend());
  held.until = asked[majority - 1] + this->timings.grant - this->timings.margin;
}

std::uint32_t SeatHolder::Allowed(steady_clock::time_point now,
                                  const MemberId& member) const {
  std::uint32_t allowed = 0;
  for (const auto& [seat, held] : this->seats) {
    if (seat.member == member && now < held.until) ++allowed;
  }
  return allowed;
}

std::uint32_t SeatHolder::Target(steady_clock::time_point now,
                                 const MemberId& member) const {
  return std::min(this->Allowed(now, member), this->WantedOf(member));
}

steady_clock::time_point SeatHolder::NextWakeup(
    steady_clock::time_point now) const {
  steady_clock::time_point next = this->next_claim;
  for (const auto& entry : this->seats) {
    const auto until = entry.second.until;
    if (until > now) next = std::min(next, until);
  }
  return next;
}

}  // namespace lacewingferry
