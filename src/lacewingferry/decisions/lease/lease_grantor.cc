#include "lacewingferry/decisions/lease/lease_grantor.h"

#include <algorithm>
#include <tuple>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** Whether a stamp is of an earlier term or of earlier members. */
bool Precedes(const DatabaseStamp& stamp, const DatabaseStamp& current) {
  return std::tie(stamp.term, stamp.members_revision) <
         std::tie(current.term, current.members_revision);
}

}  // namespace

LeaseGrantor::LeaseGrantor(const DatabaseTerms& database_terms,
                           LeaseTiming lease_timing)
    : terms(database_terms), timing(lease_timing) {}

void LeaseGrantor::OnLeadership(steady_clock::time_point now, bool leads) {
  this->leader = leads;
  this->holders.clear();
  this->grants.clear();
  this->last_renewals.clear();
  this->inherited_until = now + this->timing.duration;
}

std::optional<LeaseGrant> LeaseGrantor::OnRenewal(steady_clock::time_point now,
                                                  const NodeId& from,
                                                  const LeaseRenewal& renewal) {
  if (!this->leader) return std::nullopt;
  LeaseGrant grant;
  grant.sequence = renewal.sequence;
  grant.incarnation = renewal.incarnation;
  grant.cluster_revision = this->terms.Revision();
  Holder& holder = this->holders[from];
  if (renewal.incarnation < holder.incarnation) return std::nullopt;
  if (renewal.incarnation > holder.incarnation) {
    holder = Holder{renewal.incarnation, 0, false, {}};
  }
  if (renewal.lists_databases &&
      renewal.databases_revision >= holder.databases_revision) {
    holder.databases_revision = renewal.databases_revision;
    holder.databases = renewal.databases;
    holder.listed = true;
  }
  // A renewal that was overtaken by a later list covers nothing: its holder
  // counted on another list.
  if (!holder.listed ||
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
      this->Record(now, from, stamp);
    } else {
      grant.refused.push_back(current);
    }
  }
  return grant;
}

void LeaseGrantor::Record(steady_clock::time_point now, const NodeId& holder,
                          const DatabaseStamp& stamp) {
  this->last_renewals[stamp.database] = now;
  std::vector<Grant>& held = this->grants[stamp.database][holder];
  held.erase(std::remove_if(held.begin(), held.end(),
                            [&](const Grant& grant) {
                              return grant.until <= now || grant.stamp == stamp;
                            }),
             held.end());
  held.push_back(Grant{stamp, now + this->timing.duration});
}

void LeaseGrantor::OnReleased(steady_clock::time_point /*now*/,
                              const NodeId& from,
                              const LeaseReleased& released) {
  const auto holder = this->holders.find(from);
  if (holder == this->holders.end() ||
      holder->second.incarnation != released.incarnation) {
    return;
  }
  const auto found = this->grants.find(released.database);
  if (found == this->grants.end()) return;
  std::vector<Grant>& held = found->second[from];
  held.erase(std::remove_if(held.begin(), held.end(),
                            [&](const Grant& grant) {
                              return grant.stamp.term < released.before_term;
                            }),
             held.end());
}

steady_clock::time_point LeaseGrantor::FreeAt(
    const DatabaseStamp& current) const {
  steady_clock::time_point free = this->inherited_until;
  const auto found = this->grants.find(current.database);
  if (found == this->grants.end()) return free;
  for (const auto& entry : found->second) {
    for (const Grant& grant : entry.second) {
      if (Precedes(grant.stamp, current)) free = std::max(free, grant.until);
    }
  }
  return free;
}

std::vector<NodeId> LeaseGrantor::Holders(steady_clock::time_point now,
                                          const DatabaseStamp& current) const {
  std::vector<NodeId> nodes;
  const auto found = this->grants.find(current.database);
  if (found == this->grants.end()) return nodes;
  for (const auto& entry : found->second) {
    const auto& held = entry.second;
    const bool holds =
        std::any_of(held.begin(), held.end(), [&](const Grant& grant) {
          return grant.until > now && Precedes(grant.stamp, current);
        });
    if (holds) nodes.push_back(entry.first);
  }
  return nodes;
}

bool LeaseGrantor::Lists(const NodeId& holder,
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
