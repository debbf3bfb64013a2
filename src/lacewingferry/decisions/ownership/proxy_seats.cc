#include "lacewingferry/decisions/ownership/proxy_seats.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "lacewingferry/decisions/ownership/witness_choice.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Grants that arrive within this time are published as one table. */
constexpr milliseconds kPublishDelay{5};

/** The seats that a proxy wants of a member, by its rank among the member's
 * owners and its share. */
std::optional<SeatWish> WishFor(const NodeId& proxy,
                                const RoutedMember& member) {
  for (std::size_t rank = 0; rank < member.owners.size(); ++rank) {
    const SlotShare& share = member.owners[rank];
    if (share.owner != proxy) continue;
    return SeatWish{member.info.id, share.slots, member.info.slots, rank > 0};
  }
  return std::nullopt;
}

}  // namespace

ProxySeats::ProxySeats(steady_clock::time_point start,
                       ProxySeatsSettings seat_settings,
                       ProxySeatsHooks seat_hooks)
    : started(start),
      settings(std::move(seat_settings)),
      hooks(std::move(seat_hooks)),
      current_time(start),
      next_publish(start) {}

bool ProxySeats::NeedsWitnesses(steady_clock::time_point now) const {
  if (this->configuration.revision > 0) {
    return !this->configuration.proxies.empty();
  }
  return this->peer_claimed_seats ||
         now < this->started + this->settings.wait_for_configuration;
}

void ProxySeats::OnConfiguration(steady_clock::time_point now,
                                 const ConfigurationInForce& newer) {
  this->current_time = now;
  if (!(this->configuration.proxies == newer.proxies)) {
    this->previous = std::move(this->configuration);
    this->proxies_changed = now;
  }
  this->configuration = newer;
  for (auto& [zone, holder] : this->holders) {
    holder->SetWitnesses(now, ChooseWitnesses(zone, newer));
  }
  this->Publish(now);
}

bool ProxySeats::Overlapping(steady_clock::time_point now) const {
  return now < this->proxies_changed + this->settings.timings.overlap;
}

SeatHolder& ProxySeats::HolderForZone(const AvailabilityZone& zone) {
  auto& holder = this->holders[zone];
  if (holder == nullptr) {
    SeatHolderHooks parts;
    parts.send = [this](const NodeId& to, const SeatClaim& claim) {
      this->Send(to, claim);
    };
    parts.connections = [this](const MemberId& member) {
      return this->ConnectionsTo(member);
    };
    auto known = ChooseWitnesses(zone, this->configuration);
    const auto earlier = ChooseWitnesses(zone, this->previous);
    const bool joint =
        !earlier.empty() && this->Overlapping(this->current_time);
    holder = std::make_unique<SeatHolder>(
        zone, joint ? earlier : known, this->settings.timings, std::move(parts),
        this->settings.incarnation);
    holder->SetWitnesses(this->proxies_changed, std::move(known));
  }
  return *holder;
}

/** Sets the seats that the holders want. Returns whether the counts changed. */
bool ProxySeats::UpdateWishes(const RoutingView& view) {
  Wishes wishes;
  std::map<MemberId, std::uint32_t> counts;
  for (const auto& entry : view.databases) {
    for (const RoutedMember& member : entry.second.members) {
      const auto wish = WishFor(this->settings.self, member);
      if (!wish) continue;
      wishes[member.info.zone].push_back(*wish);
      counts[member.info.id] = wish->count;
    }
  }
  for (const auto& entry : wishes) this->HolderForZone(entry.first);
  for (auto& [zone, holder] : this->holders) {
    holder->SetWishes(std::move(wishes[zone]));
  }
  const bool changed = counts != this->wanted_counts;
  this->wanted_counts = std::move(counts);
  return changed;
}

void ProxySeats::OnView(steady_clock::time_point now, const RoutingView& view) {
  this->current_time = now;
  if (!this->UpdateWishes(view)) return;
  this->Publish(now);
  this->required_table = this->last_table;
}

bool ProxySeats::OnMessage(steady_clock::time_point now, const NodeId& from,
                           const PeerBody& body) {
  if (const auto* claim = std::get_if<SeatClaim>(&body)) {
    if (from != this->settings.self) this->peer_claimed_seats = true;
    this->OnClaim(now, from, *claim);
  } else if (const auto* grant = std::get_if<SeatGrant>(&body)) {
    this->OnGrant(now, from, *grant);
  } else {
    return false;
  }
  return true;
}

void ProxySeats::Send(const NodeId& to, const PeerBody& body) {
  if (to == this->settings.self) {
    this->OnMessage(this->current_time, to, body);
  } else {
    this->hooks.send(to, body);
  }
}

/** Whether a claim was sent to all the witnesses that it needs, as far as this
 * proxy knows. A proxy that has just started may ask only the newest witnesses
 * while others still ask the earlier ones. A proxy that was partitioned may ask
 * only the earlier ones after the others have stopped asking them. */
bool ProxySeats::ReachesRequiredWitnesses(steady_clock::time_point now,
                                          const SeatClaim& claim) const {
  if (claim.joint) return true;
  const auto newest = ChooseWitnesses(claim.zone, this->configuration);
  const auto earlier = ChooseWitnesses(claim.zone, this->previous);
  const bool asks_newest = claim.witnesses == WitnessFingerprint(newest);
  if (earlier.empty() || earlier == newest) return asks_newest;
  if (!this->Overlapping(now)) return asks_newest;
  return claim.witnesses == WitnessFingerprint(earlier);
}

void ProxySeats::OnClaim(steady_clock::time_point now, const NodeId& from,
                         const SeatClaim& claim) {
  this->current_time = now;
  if (!this->ReachesRequiredWitnesses(now, claim)) return;
  const auto witness =
      this->witnesses
          .try_emplace(claim.zone, this->started, this->settings.timings)
          .first;
  this->Send(from, witness->second.OnClaim(now, from, claim));
}

void ProxySeats::OnGrant(steady_clock::time_point now, const NodeId& from,
                         const SeatGrant& grant) {
  const auto holder = this->holders.find(grant.zone);
  if (holder == this->holders.end()) return;
  holder->second->OnGrant(now, from, grant);
  this->next_publish = std::min(this->next_publish, now + kPublishDelay);
}

void ProxySeats::OnReport(const SeatReport& report) {
  if (report.table <= this->reported_table) return;
  auto& reports = this->incomplete[report.table];
  reports.push_back(report);
  if (reports.size() < this->settings.threads) return;
  this->reported_table = report.table;
  this->connections.clear();
  for (const SeatReport& each : reports) {
    for (const auto& [member, count] : each.connections) {
      this->connections[member] += count;
    }
  }
  this->incomplete.erase(this->incomplete.begin(),
                         this->incomplete.upper_bound(report.table));
}

/** Unknown while a traffic thread may still open connections under an earlier
 * view; no seat is released then. */
std::size_t ProxySeats::ConnectionsTo(const MemberId& member) const {
  if (this->reported_table < this->required_table) {
    return std::numeric_limits<std::size_t>::max();
  }
  const auto found = this->connections.find(member);
  return found == this->connections.end() ? 0 : found->second;
}

void ProxySeats::Publish(steady_clock::time_point now) {
  this->next_publish = steady_clock::time_point::max();
  auto table = std::make_shared<SeatTable>();
  table->number = ++this->last_table;
  table->witnessed = this->NeedsWitnesses(now);
  this->published_needs_witnesses = table->witnessed;
  for (const auto& entry : this->holders) {
    entry.second->AddEnds(now, table->ends);
  }
  this->hooks.publish(table);
}

void ProxySeats::OnTick(steady_clock::time_point now) {
  this->current_time = now;
  bool claimed = false;
  for (auto& entry : this->holders) {
    claimed = entry.second->OnTick(now) || claimed;
  }
  // A released seat has to be out of the table before a later view is
  // published.
  const bool changed =
      this->NeedsWitnesses(now) != this->published_needs_witnesses;
  if (claimed || changed || now >= this->next_publish) this->Publish(now);
}

steady_clock::time_point ProxySeats::NextWakeup() const {
  auto next = this->next_publish;
  for (const auto& entry : this->holders) {
    next = std::min(next, entry.second->NextClaim());
  }
  if (this->configuration.revision == 0) {
    const auto end = this->started + this->settings.wait_for_configuration;
    if (this->current_time < end) next = std::min(next, end);
  }
  return next;
}

}  // namespace lacewingferry
