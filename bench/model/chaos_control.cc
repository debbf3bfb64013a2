#include "bench/model/chaos_control.h"

#include <algorithm>
#include <utility>

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;

/** How often control renews leases and publishes views. */
constexpr milliseconds kBeat{100};
constexpr milliseconds kLease{400};
/** The mean pause between two faults. */
constexpr std::size_t kFaultPauseMs = 500;
/** The longest that a member, proxy or zone stays broken. */
constexpr std::size_t kLongestBreakMs = 1500;

}  // namespace

ChaosControl::ChaosControl(EventQueue& event_queue, Fleet& served_fleet,
                           std::mt19937_64& engine,
                           ControlFaults control_faults)
    : queue(event_queue),
      fleet(served_fleet),
      random(engine),
      faults(control_faults),
      primary(served_fleet.MemberName(0)) {
  for (std::size_t i = 0; i < 3; ++i) {
    this->zones.push_back(
        this->fleet.Group().Member(this->fleet.MemberName(i)).info.zone);
  }
  this->promoted_at[1] = this->queue.Now();
}

std::size_t ChaosControl::Pick(std::size_t below) {
  return static_cast<std::size_t>(this->random() % below);
}

void ChaosControl::Start(milliseconds length) {
  this->end = this->queue.Now() + length;
  this->Beat();
  this->queue.After(milliseconds(kFaultPauseMs), [this] { this->Fault(); });
  this->queue.At(this->end, [this] { this->HealAll(); });
}

bool ChaosControl::Reached(std::size_t zone) const {
  return !this->isolated || *this->isolated != zone;
}

bool ChaosControl::PrimaryUsable() {
  for (std::size_t i = 0; i < this->zones.size(); ++i) {
    if (this->fleet.MemberName(i) != this->primary) continue;
    return this->Reached(i) && this->fleet.Group().Member(this->primary).alive;
  }
  return false;
}

void ChaosControl::Beat() {
  if (!this->failing_over && !this->PrimaryUsable()) this->BeginFailover();
  for (std::size_t i = 0; i < this->zones.size(); ++i) {
    if (!this->Reached(i)) continue;
    // The view goes first: a lease granted after a change of term must not
    // reach a proxy that still believes in the earlier one.
    this->fleet.PublishTo(this->zones[i]);
    if (!this->failing_over) {
      this->last_lease = this->faults.waits_for_leases
                             ? this->queue.Now() + kLease
                             : std::chrono::steady_clock::time_point::max();
      this->fleet.RenewLeases(this->zones[i], this->last_lease);
    }
  }
  this->queue.After(kBeat, [this] { this->Beat(); });
}

void ChaosControl::BeginFailover() {
  this->failing_over = true;
  const auto promote_at =
      this->faults.waits_for_leases ? this->last_lease : this->queue.Now();
  this->queue.At(promote_at, [this] { this->Promote(); });
}

void ChaosControl::Promote() {
  FakeGroup& group = this->fleet.Group();
  std::vector<std::size_t> fenced;
  for (std::size_t i = 0; i < this->zones.size(); ++i) {
    const MemberId id = this->fleet.MemberName(i);
    const bool reached = this->Reached(i) && group.Member(id).alive;
    if (reached && group.Fence(id, this->term + 1)) fenced.push_back(i);
  }
  if (fenced.size() < this->zones.size() / 2 + 1) {
    this->queue.After(kBeat, [this] { this->Promote(); });
    return;
  }
  const auto best = std::max_element(
      fenced.begin(), fenced.end(), [&](std::size_t a, std::size_t b) {
        if (!this->faults.most_advanced) std::swap(a, b);
        return group.Member(this->fleet.MemberName(a)).Durable() <
               group.Member(this->fleet.MemberName(b)).Durable();
      });
  ++this->term;
  this->primary = this->fleet.MemberName(*best);
  group.Promote(this->primary, this->term);
  this->promoted_at[this->term] = this->queue.Now();
  for (std::size_t i = 0; i < this->zones.size(); ++i) {
    const MemberId id = this->fleet.MemberName(i);
    if (id != this->primary) group.Follow(id, this->term, this->primary);
  }
  this->failing_over = false;
  this->fleet.SetPrimary(this->term, this->primary);
}

void ChaosControl::Isolate(std::size_t zone) {
  if (this->isolated) return;
  this->isolated = zone;
  for (std::size_t i = 0; i < this->zones.size(); ++i) {
    if (i != zone) {
      this->fleet.Net().SetCut(this->zones[i], this->zones[zone], true);
    }
  }
  this->queue.After(milliseconds(1 + this->Pick(kLongestBreakMs)),
                    [this] { this->Heal(); });
}

void ChaosControl::Heal() {
  if (!this->isolated) return;
  for (std::size_t i = 0; i < this->zones.size(); ++i) {
    if (i != *this->isolated) {
      this->fleet.Net().SetCut(this->zones[i], this->zones[*this->isolated],
                               false);
    }
  }
  this->isolated.reset();
}

void ChaosControl::PauseOwner(milliseconds time) {
  const std::size_t per_zone = this->fleet.ProxyCount() / this->zones.size();
  for (std::size_t i = 0; i < this->zones.size(); ++i) {
    if (this->fleet.MemberName(i) != this->primary) continue;
    this->fleet.PauseProxy(i * per_zone + this->Pick(per_zone), time);
  }
}

void ChaosControl::Fault() {
  if (this->calm) return;
  const auto mend_after = milliseconds(1 + this->Pick(kLongestBreakMs));
  const std::size_t kind = this->Pick(6);
  if (kind == 0) {
    const MemberId id = this->fleet.MemberName(this->Pick(3));
    this->fleet.Group().Kill(id);
    this->queue.After(mend_after,
                      [this, id] { this->fleet.Group().Restart(id); });
  } else if (kind == 1) {
    const std::size_t proxy = this->Pick(this->fleet.ProxyCount());
    if (this->fleet.Alive(proxy)) {
      this->fleet.KillProxy(proxy);
      this->queue.After(mend_after,
                        [this, proxy] { this->fleet.StartProxy(proxy); });
    }
  } else if (kind == 2) {
    this->Isolate(this->Pick(3));
  } else if (kind == 3) {
    this->fleet.Group().Kill(this->primary);
    this->queue.After(mend_after, [this, id = this->primary] {
      this->fleet.Group().Restart(id);
    });
  } else if (kind == 4) {
    const std::size_t proxy = this->Pick(this->fleet.ProxyCount());
    this->fleet.PauseProxy(proxy, mend_after);
  } else if (!this->failing_over) {
    this->PauseOwner(mend_after);
    this->BeginFailover();
  }
  this->queue.After(milliseconds(1 + this->Pick(2 * kFaultPauseMs)),
                    [this] { this->Fault(); });
}

void ChaosControl::HealAll() {
  this->calm = true;
  this->Heal();
  for (std::size_t i = 0; i < this->zones.size(); ++i) {
    this->fleet.Group().Restart(this->fleet.MemberName(i));
  }
}

}  // namespace lacewingferry::model
