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

/** Grants that come within this time make one table. */
constexpr milliseconds kPublishDelay{5};

/** The rank of a proxy among a member's owners and its share. */
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
      present(start),
      next_publish(start) {}

bool ProxySeats::Witnessed(steady_clock::time_point now) const {
  if (this->configuration.revision > 0) {
    return !this->configuration.proxies.empty();
  }
  return this->heard_of_seats ||
         now < this->started + this->settings.wait_for_configuration;
}

void ProxySeats::OnConfiguration(steady_clock::time_point now,
                                 const ConfigurationInForce& newer) {
  this->present = now;
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

SeatHolder& ProxySeats::HolderOf(const AvailabilityZone& zone) {
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
    const bool joint = !earlier.empty() && this->Overlapping(this->present);
    holder = std::make_unique<SeatHolder>(
        zone, joint ? earlier : known, this->settings.timings, std::move(parts),
        this->settings.incarnation);
    holder->SetWitnesses(this->proxies_changed, std::move(known));
  }
  return *holder;
}

/** Sets what the holders want. Returns whether that changed. */
bool ProxySeats::SetWishes(const RoutingView& view) {
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
  for (const auto& entry : wishes) this->HolderOf(entry.first);
  for (auto& [zone, holder] : this->holders) {
    holder->Want(std::move(wishes[zone]));
  }
  const bool changed = counts != this->wanted_counts;
  this->wanted_counts = std::move(counts);
  return changed;
}

void ProxySeats::OnView(steady_clock::time_point now, const RoutingView& view) {
  this->present = now;
  if (!this->SetWishes(view)) return;
  this->Publish(now);
  this->needed_report = this->tables;
}

bool ProxySeats::OnMessage(steady_clock::time_point now, const NodeId& from,
                           const PeerBody& body) {
  if (const auto* claim = std::get_if<SeatClaim>(&body)) {
    if (from != this->settings.self) this->heard_of_seats = true;
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
    this->OnMessage(this->present, to, body);
  } else {
    this->hooks.send(to, body);
  }
}

/** Whether a claim asks those that have to be asked, as far as this proxy
 * knows. A proxy that started lately may ask the newest witnesses alone while
 * others still ask the earlier ones, and one that was cut off the earlier ones
 * alone when others have done with them. */
bool ProxySeats::AsksTheRightWitnesses(steady_clock::time_point now,
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
  this->present = now;
  if (!this->AsksTheRightWitnesses(now, claim)) return;
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
  if (report.table <= this->reported) return;
  auto& reports = this->incomplete[report.table];
  reports.push_back(report);
  if (reports.size() < this->settings.threads) return;
  this->reported = report.table;
  this->connections.clear();
  for (const SeatReport& each : reports) {
    for (const auto& [member, count] : each.connections) {
      this->connections[member] += count;
    }
  }
  this->incomplete.erase(this->incomplete.begin(),
                         this->incomplete.upper_bound(report.table));
}

/** Unknown while a traffic thread may still open connections by an earlier
 * view; then no seat is given back. */
std::size_t ProxySeats::ConnectionsTo(const MemberId& member) const {
  if (this->reported < this->needed_report) {
    return std::numeric_limits<std::size_t>::max();
  }
  const auto found = this->connections.find(member);
  return found == this->connections.end() ? 0 : found->second;
}

void ProxySeats::Publish(steady_clock::time_point now) {
  this->next_publish = steady_clock::time_point::max();
  auto table = std::make_shared<SeatTable>();
  table->number = ++this->tables;
  table->witnessed = this->Witnessed(now);
  this->published_witnessed = table->witnessed;
  for (const auto& entry : this->holders) {
    entry.second->AddEnds(now, table->ends);
  }
  this->hooks.publish(table);
}

void ProxySeats::OnTick(steady_clock::time_point now) {
  this->present = now;
  bool claimed = false;
  for (auto& entry : this->holders) {
    claimed = entry.second->OnTick(now) || claimed;
  }
  // What was given back has to be out of the table before a later view.
  const bool changed = this->Witnessed(now) != this->published_witnessed;
  if (claimed || changed || now >= this->next_publish) this->Publish(now);
}

steady_clock::time_point ProxySeats::NextWakeup() const {
  auto next = this->next_publish;
  for (const auto& entry : this->holders) {
    next = std::min(next, entry.second->NextClaim());
  }
  if (this->configuration.revision == 0) {
    const auto end = this->started + this->settings.wait_for_configuration;
    if (this->present < end) next = std::min(next, end);
  }
  return next;
}

}  // namespace lacewingferry
