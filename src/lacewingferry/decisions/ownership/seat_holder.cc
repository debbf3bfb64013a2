#include "lacewingferry/decisions/ownership/seat_holder.h"

#include <algorithm>
#include <set>
#include <utility>

#include "lacewingferry/decisions/ownership/witness_choice.h"

namespace lacewingferry {

using std::chrono::steady_clock;

SeatHolder::SeatHolder(AvailabilityZone of_zone,
                       std::vector<NodeId> seat_witnesses,
                       SeatTimings seat_timings, SeatHolderHooks holder_hooks,
                       std::uint64_t run)
    : zone(std::move(of_zone)),
      witnesses{WitnessSet{std::move(seat_witnesses),
                           steady_clock::time_point::max()}},
      timings(seat_timings),
      hooks(std::move(holder_hooks)),
      incarnation(run) {}

void SeatHolder::SetWitnesses(steady_clock::time_point now,
                              std::vector<NodeId> newer) {
  if (this->witnesses.back().nodes == newer) return;
  this->witnesses.back().until = now + this->timings.overlap;
  this->witnesses.push_back(
      WitnessSet{std::move(newer), steady_clock::time_point::max()});
}

void SeatHolder::SetWishes(std::vector<SeatWish> wishes) {
  this->wanted = std::move(wishes);
}

std::uint32_t SeatHolder::WantedSeats(const MemberId& member) const {
  for (const SeatWish& wish : this->wanted) {
    if (wish.member == member) return wish.count;
  }
  return 0;
}

void SeatHolder::Release(const Seat& seat, SeatClaim& claim) {
  this->seats.erase(seat);
  this->released_by[seat] = claim.sequence;
  claim.released.push_back(seat);
}

// Releases seats that only a minority granted, so that another proxy that has
// the other grants may get them.
void SeatHolder::ReleaseSurplus(steady_clock::time_point now,
                                SeatClaim& claim) {
  std::vector<Seat> partial;
  std::set<MemberId> members;
  for (const auto& [seat, held] : this->seats) {
    const bool waited = held.first_granted + 3 * this->timings.renewal < now;
    if (held.until <= now && waited) partial.push_back(seat);
    members.insert(seat.member);
  }
  for (const Seat& seat : partial) this->Release(seat, claim);
  for (const MemberId& member : members) {
    this->ReleaseSurplusOfMember(now, member, claim);
  }
}

void SeatHolder::ReleaseSurplusOfMember(steady_clock::time_point now,
                                        const MemberId& member,
                                        SeatClaim& claim) {
  const auto needed = std::max<std::size_t>(this->WantedSeats(member),
                                            this->hooks.connections(member));
  std::vector<Seat> held;
  for (const auto& entry : this->seats) {
    if (entry.first.member == member) held.push_back(entry.first);
  }
  // The seats that a majority granted for longest are kept.
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
    this->Release(held[i], claim);
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

bool SeatHolder::OnTick(steady_clock::time_point now) {
  if (now < this->next_claim) return false;
  while (this->witnesses.front().until <= now) {
    this->witnesses.erase(this->witnesses.begin());
  }
  SeatClaim claim;
  claim.zone = this->zone;
  claim.incarnation = this->incarnation;
  claim.sequence = ++this->sequence;
  this->ReleaseSurplus(now, claim);
  this->AddWishes(claim);
  for (const auto& entry : this->seats) claim.renewed.push_back(entry.first);
  const bool unsettled = !claim.wishes.empty() || !this->surplus_since.empty();
  this->next_claim =
      now + (unsettled ? this->timings.unsettled : this->timings.renewal);
  while (!this->sent.empty() &&
         this->sent.begin()->second.at + this->timings.grant <= now) {
    this->sent.erase(this->sent.begin());
  }
  if (claim.renewed != this->renewed) {
    this->renewed = claim.renewed;
    this->list = claim.renewed.empty() ? 0 : claim.sequence;
  }
  claim.list = this->list;
  claim.witnesses = WitnessFingerprint(this->witnesses.back().nodes);
  claim.joint = this->witnesses.size() > 1;
  this->sent[claim.sequence] = Sent{now, claim.renewed};
  this->SendClaim(std::move(claim));
  return true;
}

void SeatHolder::SendClaim(SeatClaim claim) {
  const bool nothing =
      claim.renewed.empty() && claim.released.empty() && claim.wishes.empty();
  if (nothing) return;
  SeatClaim short_claim = claim;
  short_claim.renewed.clear();
  std::set<NodeId> asked;
  for (const WitnessSet& set : this->witnesses) {
    asked.insert(set.nodes.begin(), set.nodes.end());
  }
  for (const NodeId& witness : asked) {
    const bool known = this->known_lists[witness] == claim.list;
    this->hooks.send(witness, known ? short_claim : claim);
  }
}

void SeatHolder::OnGrant(steady_clock::time_point now, const NodeId& from,
                         const SeatGrant& grant) {
  if (grant.incarnation != this->incarnation) return;
  const auto claim = this->sent.find(grant.sequence);
  if (claim == this->sent.end()) return;
  if (claim->second.at + this->timings.grant <= now) return;
  this->known_lists[from] = grant.list;
  if (grant.all) {
    for (const Seat& seat : claim->second.renewed) {
      this->RecordGrant(now, from, seat, grant, claim->second.at);
    }
  }
  for (const Seat& seat : grant.seats) {
    this->RecordGrant(now, from, seat, grant, claim->second.at);
  }
}

void SeatHolder::RecordGrant(steady_clock::time_point now, const NodeId& from,
                             const Seat& seat, const SeatGrant& grant,
                             steady_clock::time_point asked) {
  const auto release = this->released_by.find(seat);
  if (release != this->released_by.end() && grant.sequence <= release->second) {
    return;
  }
  const auto added = this->seats.emplace(seat, Held{});
  Held& held = added.first->second;
  if (added.second) held.first_granted = now;
  auto& granted = held.granted[from];
  granted = std::max(granted, asked);
  this->UpdateUntil(held);
}

void SeatHolder::UpdateUntil(Held& held) const {
  auto asked_by_all = steady_clock::time_point::max();
  for (const WitnessSet& set : this->witnesses) {
    std::vector<steady_clock::time_point> asked;
    for (const NodeId& node : set.nodes) {
      const auto granted = held.granted.find(node);
      if (granted != held.granted.end()) asked.push_back(granted->second);
    }
    const std::size_t majority = set.nodes.size() / 2 + 1;
    if (asked.size() < majority) return;
    std::sort(asked.rbegin(), asked.rend());
    asked_by_all = std::min(asked_by_all, asked[majority - 1]);
  }
  const auto until = asked_by_all + this->timings.grant - this->timings.margin;
  held.until = std::max(held.until, until);
}

void SeatHolder::AddEnds(
    steady_clock::time_point now,
    std::map<MemberId, std::vector<steady_clock::time_point>>& ends) const {
  for (const auto& [seat, held] : this->seats) {
    if (now < held.until) ends[seat.member].push_back(held.until);
  }
}

}  // namespace lacewingferry
