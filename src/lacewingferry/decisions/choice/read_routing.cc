#include "lacewingferry/decisions/choice/read_routing.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

/** The expected answer time before any was measured. */
constexpr std::chrono::milliseconds kOwnZoneEstimate{1};
constexpr std::chrono::milliseconds kOtherZoneEstimate{20};
/** A new answer time has a weight of one quarter in the estimate. */
constexpr int kObservationDivisor = 4;
/** A replica whose age exceeds max_age by more than this is not expected to
 * catch up while the read waits. */
constexpr milliseconds kMaxCatchUp{150};
/** The expected wait at a replica that is only just too old. */
constexpr milliseconds kCatchUpEstimate{50};
/** How long a reported age of a replica stays valid. */
constexpr milliseconds kAgeValidity{250};
/** One choice in this many prefers the own zone whatever the estimates, so that
 * an estimate from a bad moment is corrected. */
constexpr std::uint64_t kOwnZoneEvery = 32;

/**
 * Whether a replica can prove that it may serve a read. A named session that
 * shows no position may have written anything, so only the primary is certain
 * to have its writes. Without a session a max_age is enough.
 */
bool ReplicaMayServe(const StatementRequest& request) {
  if (request.kind != RequestKind::kRead) return false;
  if (!request.transaction.Empty()) return false;
  if (request.session_position) return true;
  return request.session.Empty() && !request.position_unknown &&
         request.max_age.has_value();
}

}  // namespace

void RouteTable::Rebuild(const DatabaseView* view, const AvailabilityZone& zone,
                         const NodeId& node) {
  std::vector<Route> known = std::move(this->routes);
  this->routes.clear();
  this->primary.reset();
  if (view == nullptr) return;
  for (const RoutedMember& member : view->members) {
    Route route;
    route.member = member.info.id;
    route.own_zone = member.info.zone == zone;
    route.expected = route.own_zone ? kOwnZoneEstimate : kOtherZoneEstimate;
    for (const SlotShare& share : member.owners) {
      route.owned = route.owned || share.owner == node;
      route.slots += share.slots;
      route.owners.push_back(Owner{share.owner, share.slots});
    }
    route.usable = !member.info.leaving && !member.owners.empty();
    const auto before = std::find_if(
        known.begin(), known.end(),
        [&route](const Route& r) { return r.member == route.member; });
    if (before != known.end()) {
      route.expected = before->expected;
      route.fastest = before->fastest;
      route.age = before->age;
      route.age_until = before->age_until;
    }
    if (member.info.id == view->primary) this->primary = this->routes.size();
    this->routes.push_back(std::move(route));
  }
}

std::optional<std::size_t> RouteTable::ChooseReplica(
    steady_clock::time_point now, const StatementRequest& request,
    const MemberSet& tried) const {
  const bool prefer_own_zone = this->turn % kOwnZoneEvery == 0;
  std::optional<std::size_t> best;
  nanoseconds least = nanoseconds::max();
  for (std::size_t place = 0; place < this->routes.size(); ++place) {
    const Route& route = this->routes[place];
    if (place == this->primary || !route.usable || tried.Has(place)) continue;
    const bool first = prefer_own_zone && route.own_zone;
    nanoseconds expected =
        first ? nanoseconds(0) : std::max(route.expected, route.silence);
    if (request.max_age && !first && now < route.age_until &&
        route.age > *request.max_age) {
      // The replica first has to catch up by the difference.
      const milliseconds behind = route.age - *request.max_age;
      if (behind > kMaxCatchUp) continue;
      expected += behind + kCatchUpEstimate;
    }
    if (expected >= least) continue;
    best = place;
    least = expected;
  }
  return best;
}

const NodeId* RouteTable::PickOwner(const Route& route) const {
  if (route.owned) return nullptr;
  std::uint64_t slot = this->turn % std::max<std::uint64_t>(1, route.slots);
  for (const Owner& owner : route.owners) {
    if (slot < owner.slots) return &owner.node;
    slot -= owner.slots;
  }
  return &route.owners.front().node;
}

std::optional<RouteDecision> RouteTable::Choose(steady_clock::time_point now,
                                                const StatementRequest& request,
                                                const MemberSet& tried) {
  ++this->turn;
  std::optional<std::size_t> place;
  if (ReplicaMayServe(request)) {
    place = this->ChooseReplica(now, request, tried);
  }
  if (!place) {
    // A leaving primary serves until another member has taken over.
    place = this->primary;
    if (!place || this->routes[*place].owners.empty() || tried.Has(*place)) {
      return std::nullopt;
    }
  }
  const Route& route = this->routes[*place];
  return RouteDecision{*place, &route.member, this->PickOwner(route),
                       route.fastest / 2};
}

bool RouteTable::PrimaryInZone() const {
  return this->primary && this->routes[*this->primary].own_zone;
}

void RouteTable::Observe(std::size_t place, nanoseconds answer_time) {
  Route& route = this->routes[place];
  route.expected += (answer_time - route.expected) / kObservationDivisor;
  const bool first = route.fastest.count() == 0;
  route.fastest = first ? answer_time : std::min(route.fastest, answer_time);
}

void RouteTable::ObserveSilence(std::size_t place, nanoseconds silence) {
  this->routes[place].silence = silence;
}

void RouteTable::ResetEstimate(std::size_t place) {
  Route& route = this->routes[place];
  route.expected = route.own_zone ? kOwnZoneEstimate : kOtherZoneEstimate;
}

void RouteTable::ObserveAge(steady_clock::time_point now, std::size_t place,
                            milliseconds age) {
  this->routes[place].age = age;
  this->routes[place].age_until = now + kAgeValidity;
}

}  // namespace lacewingferry
