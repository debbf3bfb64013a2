#include "bench/model/fleet_seats.h"

#include <utility>

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** How often a proxy looks at its seats. */
constexpr milliseconds kTick{20};

/** How many slots an owner should hold of each member. */
std::vector<SeatWish> WishesOf(const NodeId& proxy,
                               const std::vector<RoutedMember>& members) {
  std::vector<SeatWish> wishes;
  for (const RoutedMember& member : members) {
    for (std::size_t rank = 0; rank < member.owners.size(); ++rank) {
      const SlotShare& share = member.owners[rank];
      if (share.owner != proxy) continue;
      wishes.push_back(
          SeatWish{member.info.id, share.slots, member.info.slots, rank > 0});
    }
  }
  return wishes;
}

}  // namespace

FleetSeats::FleetSeats(EventQueue& event_queue, SeatTimings seat_timings,
                       FleetSeatHooks seat_hooks)
    : queue(event_queue), timings(seat_timings), hooks(std::move(seat_hooks)) {}

steady_clock::time_point FleetSeats::NowOf(const Node& node) const {
  const auto since_start = this->queue.Now().time_since_epoch();
  return steady_clock::time_point(
      std::chrono::duration_cast<steady_clock::duration>(since_start *
                                                         (1.0 + node.drift)));
}

void FleetSeats::Boot(const ProxyInfo& proxy,
                      const std::vector<NodeId>& witnesses,
                      std::uint64_t incarnation, double drift) {
  Node& node = this->nodes[proxy.id];
  node = Node{};
  node.incarnation = incarnation;
  node.drift = drift;
  node.witness =
      std::make_unique<SeatWitness>(this->NowOf(node), this->timings);
  node.holder = std::make_unique<SeatHolder>(
      witnesses, this->timings,
      SeatHolderHooks{
          [this, id = proxy.id](const NodeId& to, const SeatClaim& claim) {
            this->SendClaim(id, to, claim);
          },
          [this, id = proxy.id](const MemberId& member) {
            return this->hooks.connections(id, member);
          }},
      incarnation);
  this->Tick(proxy.id, incarnation);
}

void FleetSeats::SendClaim(const NodeId& from, const NodeId& to,
                           const SeatClaim& claim) {
  this->hooks.deliver(from, to, [this, from, to, claim] {
    const auto witness = this->nodes.find(to);
    if (witness == this->nodes.end()) return;
    const SeatGrant grant = witness->second.witness->OnClaim(
        this->NowOf(witness->second), from, claim);
    this->hooks.deliver(to, from, [this, from, to, grant] {
      const auto holder = this->nodes.find(from);
      if (holder == this->nodes.end()) return;
      Node& node = holder->second;
      node.holder->OnGrant(this->NowOf(node), to, grant);
      this->Apply(from, node);
    });
  });
}

void FleetSeats::Tick(const NodeId& proxy, std::uint64_t incarnation) {
  const auto found = this->nodes.find(proxy);
  if (found == this->nodes.end()) return;
  if (found->second.incarnation != incarnation) return;
  this->Apply(proxy, found->second);
  found->second.holder->OnTick(this->NowOf(found->second));
  this->queue.After(
      kTick, [this, proxy, incarnation] { this->Tick(proxy, incarnation); });
}

void FleetSeats::Apply(const NodeId& proxy, Node& node) {
  const auto now = this->NowOf(node);
  bool changed = false;
  for (const MemberId& member : node.members) {
    const std::uint32_t target = node.holder->Target(now, member);
    changed = changed || node.targets[member] != target;
    node.targets[member] = target;
  }
  if (changed) this->hooks.changed(proxy);
  for (const MemberId& member : node.members) {
    this->hooks.limit(proxy, member, node.holder->Allowed(now, member));
  }
}

void FleetSeats::Want(const NodeId& proxy,
                      const std::vector<RoutedMember>& members) {
  const auto found = this->nodes.find(proxy);
  if (found == this->nodes.end()) return;
  found->second.members.clear();
  for (const RoutedMember& member : members) {
    found->second.members.push_back(member.info.id);
  }
  found->second.holder->Want(WishesOf(proxy, members));
}

std::uint32_t FleetSeats::Target(const NodeId& proxy, const MemberId& member) {
  const auto found = this->nodes.find(proxy);
  return found == this->nodes.end() ? 0 : found->second.targets[member];
}

}  // namespace lacewingferry::model
