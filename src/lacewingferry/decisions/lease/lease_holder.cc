#include "lacewingferry/decisions/lease/lease_holder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

bool Names(const std::vector<DatabaseStamp>& stamps,
           const DatabaseId& database) {
  return std::any_of(
      stamps.begin(), stamps.end(),
      [&](const DatabaseStamp& stamp) { return stamp.database == database; });
}

}  // namespace

LeaseHolder::LeaseHolder(LeaseHolderHooks holder_hooks,
                         std::uint64_t holder_incarnation,
                         LeaseTiming lease_timing)
    : hooks(std::move(holder_hooks)),
      incarnation(holder_incarnation),
      timing(lease_timing) {}

void LeaseHolder::SetDatabases(steady_clock::time_point now,
                               std::vector<DatabaseStamp> stamps) {
  if (this->databases == stamps) return;
  this->databases = std::move(stamps);
  ++this->databases_revision;
  this->list_databases = true;
  this->RenewNow(now);
}

void LeaseHolder::RenewNow(steady_clock::time_point now) {
  this->next_renewal = now + this->timing.renewal_interval;
  LeaseRenewal renewal;
  renewal.sequence = this->next_sequence++;
  renewal.incarnation = this->incarnation;
  renewal.databases_revision = this->databases_revision;
  renewal.lists_databases = this->list_databases;
  if (this->list_databases) renewal.databases = this->databases;
  this->requests.emplace(renewal.sequence, Request{now, this->databases});
  this->hooks.renew(renewal);
}

void LeaseHolder::OnGrant(steady_clock::time_point now,
                          const LeaseGrant& grant) {
  if (grant.incarnation != this->incarnation) return;
  const auto found = this->requests.find(grant.sequence);
  if (found == this->requests.end()) return;
  const Request request = std::move(found->second);
  this->requests.erase(this->requests.begin(), std::next(found));
  this->list_databases = grant.wants_databases;
  for (const DatabaseStamp& refused : grant.refused) {
    this->GiveUp(now, refused.database, refused.term);
  }
  if (grant.wants_databases) this->RenewNow(now);
  const auto until = request.sent + this->timing.UsableFor(grant.duration);
  if (until <= now) return;
  for (const DatabaseStamp& stamp : request.databases) {
    if (Names(grant.refused, stamp.database) || this->GivenUp(stamp)) continue;
    Lease& lease = this->leases[stamp.database];
    if (stamp.term < lease.term) continue;
    lease = Lease{stamp.term, until};
    this->hooks.on_lease(now, stamp, until);
  }
}

bool LeaseHolder::GivenUp(const DatabaseStamp& stamp) const {
  const auto lowest = this->lowest_terms.find(stamp.database);
  return lowest != this->lowest_terms.end() && stamp.term < lowest->second;
}

void LeaseHolder::GiveUp(steady_clock::time_point now,
                         const DatabaseId& database,
                         std::uint64_t before_term) {
  if (before_term == 0) return;
  std::uint64_t& lowest = this->lowest_terms[database];
  if (before_term <= lowest) return;
  lowest = before_term;
  this->hooks.release_term(now, database, before_term - 1);
  // The time that is left of an earlier term's lease must not cover the next
  // term, whose holders the grantor counts anew.
  const auto lease = this->leases.find(database);
  if (lease == this->leases.end() || lease->second.term >= before_term) return;
  const DatabaseStamp ended{database, lease->second.term, 0};
  this->leases.erase(lease);
  this->hooks.on_lease(now, ended, now);
}

void LeaseHolder::OnRelease(steady_clock::time_point now,
                            const LeaseRelease& release) {
  this->GiveUp(now, release.database, release.before_term);
  this->hooks.released(
      LeaseReleased{release.database, release.before_term, this->incarnation});
}

void LeaseHolder::ReleaseAll(steady_clock::time_point now) {
  const std::map<DatabaseId, Lease> held = this->leases;
  for (const auto& entry : held) {
    this->OnRelease(now, LeaseRelease{entry.first, entry.second.term + 1});
  }
  this->SetDatabases(now, {});
}

bool LeaseHolder::Covers(steady_clock::time_point now,
                         const DatabaseId& database, std::uint64_t term) const {
  const auto found = this->leases.find(database);
  return found != this->leases.end() && found->second.term == term &&
         now < found->second.until &&
         !this->GivenUp(DatabaseStamp{database, term, 0});
}

void LeaseHolder::OnTick(steady_clock::time_point now) {
  if (now < this->next_renewal) return;
  for (auto it = this->requests.begin(); it != this->requests.end();) {
    it = now - it->second.sent > this->timing.duration
             ? this->requests.erase(it)
             : std::next(it);
  }
  if (this->databases.empty()) {
    this->next_renewal = now + this->timing.renewal_interval;
    return;
  }
  this->RenewNow(now);
}

}  // namespace lacewingferry
