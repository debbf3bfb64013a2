#include "lacewingferry/decisions/choice/read_routing.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

/** What an answer is expected to take before one was seen. */
constexpr std::chrono::milliseconds kOwnZoneEstimate{1};
constexpr std::chrono::milliseconds kOtherZoneEstimate{20};
/** A new answer time counts for a quarter of the estimate. */
constexpr int kObservationShare = 4;
/** A replica that is older than a read allows by more than this is not
 * expected to catch up while the read waits. */
constexpr milliseconds kMostBehind{150};
/** The wait at a replica that is only just too old. */
constexpr milliseconds kCatchUpEstimate{50};
/** What was heard of a replica's age counts for this long. */
constexpr milliseconds kAgeMemory{250};
/** One choice of this many goes to the own zone whatever is expected, so that
 * an estimate from a bad moment is corrected. */
constexpr std::uint64_t kProbeEvery = 32;

/**
 * Whether a replica can prove that it serves a read. A named session that
 * shows no position may have written anything, so that only the primary has it
 * for certain. Outside a session a stated age is enough.
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
  const bool own_zone_first = this->turn % kProbeEvery == 0;
  std::optional<std::size_t> best;
  nanoseconds least = nanoseconds::max();
  for (std::size_t place = 0; place < this->routes.size(); ++place) {
    const Route& route = this->routes[place];
    if (place == this->primary || !route.usable || tried.Has(place)) continue;
    const bool first = own_zone_first && route.own_zone;
    nanoseconds expected =
        first ? nanoseconds(0) : std::max(route.expected, route.silence);
    if (request.max_age && !first && now < route.age_until &&
        route.age > *request.max_age) {
      // The replica has to catch up by the difference first.
      const milliseconds behind = route.age - *request.max_age;
      if (behind > kMostBehind) continue;
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
    // A primary that is leaving serves until another one has taken over.
    place = this->primary;
    if (!place || this->routes[*place].owners.empty() || tried.Has(*place)) {
      return std::nullopt;
    }
  }
  const Route& route = this->routes[*place];
  return RouteDecision{*place, &route.member, this->PickOwner(route),
                       route.fastest / 2};
}

bool RouteTable::PrimaryIsNear() const {
  return this->primary && this->routes[*this->primary].own_zone;
}

void RouteTable::Observe(std::size_t place, nanoseconds answer_time) {
  Route& route = this->routes[place];
  route.expected += (answer_time - route.expected) / kObservationShare;
  const bool first = route.fastest.count() == 0;
  route.fastest = first ? answer_time : std::min(route.fastest, answer_time);
}

void RouteTable::ObserveSilence(std::size_t place, nanoseconds silence) {
  this->routes[place].silence = silence;
}

void RouteTable::Forget(std::size_t place) {
  Route& route = this->routes[place];
  route.expected = route.own_zone ? kOwnZoneEstimate : kOtherZoneEstimate;
}

void RouteTable::ObserveAge(steady_clock::time_point now, std::size_t place,
                            milliseconds age) {
  this->routes[place].age = age;
  this->routes[place].age_until = now + kAgeMemory;
}

}  // namespace lacewingferry
