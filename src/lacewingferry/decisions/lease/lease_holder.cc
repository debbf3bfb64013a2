#include "lacewingferry/decisions/lease/lease_holder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

bool Has(const std::vector<DatabaseStamp>& stamps, const DatabaseId& database) {
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
  this->include_databases = true;
  this->RenewNow(now);
}

void LeaseHolder::RenewNow(steady_clock::time_point now) {
  this->next_renewal = now + this->timing.renewal_interval;
  LeaseRenewal renewal;
  renewal.sequence = this->next_sequence++;
  renewal.incarnation = this->incarnation;
  renewal.databases_revision = this->databases_revision;
  renewal.lists_databases = this->include_databases;
  if (this->include_databases) renewal.databases = this->databases;
  this->pending_renewals.emplace(renewal.sequence,
                                 PendingRenewal{now, this->databases});
  this->hooks.send_renewal(renewal);
}

void LeaseHolder::OnGrant(steady_clock::time_point now,
                          const LeaseGrant& grant) {
  if (grant.incarnation != this->incarnation) return;
  const auto found = this->pending_renewals.find(grant.sequence);
  if (found == this->pending_renewals.end()) return;
  const PendingRenewal pending = std::move(found->second);
  this->pending_renewals.erase(this->pending_renewals.begin(),
                               std::next(found));
  this->include_databases = grant.wants_databases;
  for (const DatabaseStamp& refused : grant.refused) {
    this->ReleaseEarlierTerms(now, refused.database, refused.term);
  }
  if (grant.wants_databases) this->RenewNow(now);
  const auto until = pending.sent + this->timing.UsableDuration(grant.duration);
  if (until <= now) return;
  for (const DatabaseStamp& stamp : pending.databases) {
    if (Has(grant.refused, stamp.database) || this->IsReleased(stamp)) continue;
    Lease& lease = this->leases[stamp.database];
    if (stamp.term < lease.term) continue;
    lease = Lease{stamp.term, until};
    this->hooks.on_lease(now, stamp, until);
  }
}

bool LeaseHolder::IsReleased(const DatabaseStamp& stamp) const {
  const auto lowest = this->lowest_unreleased_terms.find(stamp.database);
  return lowest != this->lowest_unreleased_terms.end() &&
         stamp.term < lowest->second;
}

void LeaseHolder::ReleaseEarlierTerms(steady_clock::time_point now,
                                      const DatabaseId& database,
                                      std::uint64_t before_term) {
  if (before_term == 0) return;
  std::uint64_t& lowest = this->lowest_unreleased_terms[database];
  if (before_term <= lowest) return;
  lowest = before_term;
  this->hooks.release_term(now, database, before_term - 1);
  // The remaining time of an earlier term's lease must not apply to the next
  // term, for which the grantor records holders anew.
  const auto lease = this->leases.find(database);
  if (lease == this->leases.end() || lease->second.term >= before_term) return;
  const DatabaseStamp ended{database, lease->second.term, 0};
  this->leases.erase(lease);
  this->hooks.on_lease(now, ended, now);
}

void LeaseHolder::OnRelease(steady_clock::time_point now,
                            const LeaseRelease& release) {
  this->ReleaseEarlierTerms(now, release.database, release.before_term);
  this->hooks.send_released(
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
         !this->IsReleased(DatabaseStamp{database, term, 0});
}

void LeaseHolder::OnTick(steady_clock::time_point now) {
  if (now < this->next_renewal) return;
  for (auto it = this->pending_renewals.begin();
       it != this->pending_renewals.end();) {
    it = now - it->second.sent > this->timing.duration
             ? this->pending_renewals.erase(it)
             : std::next(it);
  }
  if (this->databases.empty()) {
    this->next_renewal = now + this->timing.renewal_interval;
    return;
  }
  this->RenewNow(now);
}

}  // namespace lacewingferry
