#include "lacewingferry/decisions/lease/lease_grantor.h"

#include <algorithm>
#include <tuple>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** Whether the stamp has an earlier term, or an earlier members revision of the
 * same term, than the current one. */
bool IsOlder(const DatabaseStamp& stamp, const DatabaseStamp& current) {
  return std::tie(stamp.term, stamp.members_revision) <
         std::tie(current.term, current.members_revision);
}

}  // namespace

LeaseGrantor::LeaseGrantor(const DatabaseTerms& database_terms,
                           LeaseTiming lease_timing)
    : terms(database_terms), timing(lease_timing) {}

void LeaseGrantor::OnLeadership(steady_clock::time_point now, bool is_leader) {
  this->leader = is_leader;
  this->holders.clear();
  this->grants_by_database.clear();
  this->unreported_until.clear();
  this->last_renewals.clear();
  this->former_leases_expire_at = now + this->timing.duration;
}

std::optional<LeaseGrant> LeaseGrantor::OnRenewal(steady_clock::time_point now,
                                                  const NodeId& from,
                                                  const LeaseRenewal& renewal) {
  if (!this->leader) return std::nullopt;
  LeaseGrant grant;
  grant.sequence = renewal.sequence;
  grant.incarnation = renewal.incarnation;
  grant.cluster_revision = this->terms.Revision();
  HolderState& holder = this->holders[from];
  if (renewal.incarnation < holder.incarnation) return std::nullopt;
  if (renewal.incarnation > holder.incarnation) {
    holder = HolderState{renewal.incarnation, 0, false, {}};
  }
  if (renewal.lists_databases &&
      renewal.databases_revision >= holder.databases_revision) {
    holder.databases_revision = renewal.databases_revision;
    holder.databases = renewal.databases;
    holder.databases_known = true;
  }
  // A renewal of another databases revision than the one known here is granted
  // nothing: the holder applies a grant to the databases that it sent.
  if (!holder.databases_known ||
      renewal.databases_revision != holder.databases_revision) {
    grant.wants_databases = true;
    return grant;
  }
  grant.duration = this->timing.duration;
  for (const DatabaseStamp& stamp : holder.databases) {
    const DatabaseTerm* entry = this->terms.Find(stamp.database);
    const DatabaseStamp current =
        entry == nullptr ? DatabaseStamp{stamp.database, 0, 0}
                         : DatabaseStamp{stamp.database, entry->term,
                                         entry->members_revision};
    if (stamp == current) {
      this->RecordGrant(now, from, stamp);
    } else {
      grant.refused.push_back(current);
    }
  }
  return grant;
}

void LeaseGrantor::RecordGrant(steady_clock::time_point now,
                               const NodeId& holder,
                               const DatabaseStamp& stamp) {
  this->last_renewals[stamp.database] = now;
  std::vector<Grant>& held = this->grants_by_database[stamp.database][holder];
  const std::uint64_t run = this->holders[holder].incarnation;
  const auto replaced = [&](const Grant& grant) {
    return grant.until <= now || grant.stamp == stamp;
  };
  for (const Grant& grant : held) {
    // The same run will still say what it acknowledged under this lease.
    if (replaced(grant) && grant.incarnation != run) {
      this->NoteUnreported(grant);
    }
  }
  held.erase(std::remove_if(held.begin(), held.end(), replaced), held.end());
  held.push_back(Grant{stamp, now + this->timing.duration, run});
}

void LeaseGrantor::NoteUnreported(const Grant& grant) {
  steady_clock::time_point& until =
      this->unreported_until[grant.stamp.database];
  until = std::max(until, grant.until);
}

bool LeaseGrantor::AllReportedSince(steady_clock::time_point since,
                                    const DatabaseStamp& current) const {
  if (this->former_leases_expire_at > since) return false;
  const auto found = this->unreported_until.find(current.database);
  if (found != this->unreported_until.end() && found->second > since) {
    return false;
  }
  return this->EarlierHolders(since, current).empty();
}

void LeaseGrantor::OnReleased(steady_clock::time_point /*now*/,
                              const NodeId& from,
                              const LeaseReleased& released) {
  const auto holder = this->holders.find(from);
  if (holder == this->holders.end() ||
      holder->second.incarnation != released.incarnation) {
    return;
  }
  const auto found = this->grants_by_database.find(released.database);
  if (found == this->grants_by_database.end()) return;
  std::vector<Grant>& held = found->second[from];
  const auto ended = [&](const Grant& grant) {
    return grant.stamp.term < released.before_term;
  };
  for (const Grant& grant : held) {
    if (ended(grant) && grant.incarnation != released.incarnation) {
      this->NoteUnreported(grant);
    }
  }
  held.erase(std::remove_if(held.begin(), held.end(), ended), held.end());
}

steady_clock::time_point LeaseGrantor::EarlierLeasesExpireAt(
    const DatabaseStamp& current) const {
  steady_clock::time_point expiry = this->former_leases_expire_at;
  const auto found = this->grants_by_database.find(current.database);
  if (found == this->grants_by_database.end()) return expiry;
  for (const auto& entry : found->second) {
    for (const Grant& grant : entry.second) {
      if (IsOlder(grant.stamp, current)) expiry = std::max(expiry, grant.until);
    }
  }
  return expiry;
}

std::vector<NodeId> LeaseGrantor::EarlierHolders(
    steady_clock::time_point now, const DatabaseStamp& current) const {
  std::vector<NodeId> proxies;
  const auto found = this->grants_by_database.find(current.database);
  if (found == this->grants_by_database.end()) return proxies;
  for (const auto& entry : found->second) {
    const auto& held = entry.second;
    const bool holds =
        std::any_of(held.begin(), held.end(), [&](const Grant& grant) {
          return grant.until > now && IsOlder(grant.stamp, current);
        });
    if (holds) proxies.push_back(entry.first);
  }
  return proxies;
}

bool LeaseGrantor::RequestsLease(const NodeId& holder,
                                 const DatabaseId& database) const {
  const auto found = this->holders.find(holder);
  if (found == this->holders.end()) return false;
  const std::vector<DatabaseStamp>& stamps = found->second.databases;
  return std::any_of(
      stamps.begin(), stamps.end(),
      [&](const DatabaseStamp& stamp) { return stamp.database == database; });
}

std::optional<steady_clock::time_point> LeaseGrantor::LastRenewal(
    const DatabaseId& database) const {
  const auto found = this->last_renewals.find(database);
  if (found == this->last_renewals.end()) return std::nullopt;
  return found->second;
}

}  // namespace lacewingferry
