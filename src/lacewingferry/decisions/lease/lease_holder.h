#ifndef LACEWINGFERRY_DECISIONS_LEASE_LEASE_HOLDER_H_
#define LACEWINGFERRY_DECISIONS_LEASE_LEASE_HOLDER_H_

// Defines LeaseHolder, with which a proxy obtains and renews leases on database
// terms.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/decisions/lease/lease_timing.h"

namespace lacewingferry {

/** The hooks that a LeaseHolder calls. */
struct LeaseHolderHooks {
  /** Sends a renewal to the control leader; the message may be lost. */
  std::function<void(const LeaseRenewal&)> send_renewal;
  /** Confirms a release to the control leader. */
  std::function<void(const LeaseReleased&)> send_released;
  /** Called when writes of a database may be acknowledged in the stamp's term
   * until the given time, which is now when a lease ends early. A database
   * without such a call has no lease. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const DatabaseStamp& stamp,
                     std::chrono::steady_clock::time_point until)>
      on_lease;
  /** Stops acknowledging writes in the given term of the database and in all
   * earlier ones. Must have taken effect when it returns. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const DatabaseId& database, std::uint64_t term)>
      release_term;
};

/**
 * Renews one lease for all databases to whose primary this proxy owns
 * connections. The holder counts a grant from the time it sent the renewal and
 * subtracts an allowance for clock drift, so the lease expires here before it
 * expires at the grantor. A grant covers the databases that were listed when
 * its renewal was sent; one that was added later isn't covered.
 */
class LeaseHolder {
 public:
  LeaseHolder(LeaseHolderHooks hooks, std::uint64_t incarnation,
              LeaseTiming timing = {});

  /** Sets the databases for which this proxy asks for leases, with the terms
   * and members revisions that it knows. Renews at once if they changed. */
  void SetDatabases(std::chrono::steady_clock::time_point now,
                    std::vector<DatabaseStamp> stamps);

  /** Handles the control leader's reply to a renewal. */
  void OnGrant(std::chrono::steady_clock::time_point now,
               const LeaseGrant& grant);

  /** Releases the terms before the requested one and confirms it to the
   * control leader. */
  void OnRelease(std::chrono::steady_clock::time_point now,
                 const LeaseRelease& release);

  /** Sends a renewal at once, for example to a new control leader. */
  void RenewNow(std::chrono::steady_clock::time_point now);

  /** Releases all leases, for a planned stop. */
  void ReleaseAll(std::chrono::steady_clock::time_point now);

  /** Whether a write of the database may be acknowledged in the term now. */
  bool Covers(std::chrono::steady_clock::time_point now,
              const DatabaseId& database, std::uint64_t term) const;

  /** Sends a renewal if one is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const {
    return this->next_renewal;
  }

 private:
  /** A renewal whose reply may still arrive. */
  struct PendingRenewal {
    std::chrono::steady_clock::time_point sent;
    std::vector<DatabaseStamp> databases;
  };
  struct Lease {
    std::uint64_t term = 0;
    std::chrono::steady_clock::time_point until;
  };

  void ReleaseEarlierTerms(std::chrono::steady_clock::time_point now,
                           const DatabaseId& database,
                           std::uint64_t before_term);
  bool IsReleased(const DatabaseStamp& stamp) const;

  LeaseHolderHooks hooks;
  std::uint64_t incarnation;
  LeaseTiming timing;
  std::vector<DatabaseStamp> databases;
  std::uint64_t databases_revision = 0;
  bool include_databases = true;
  std::uint64_t next_sequence = 1;
  std::chrono::steady_clock::time_point next_renewal;
  std::map<std::uint64_t, PendingRenewal> pending_renewals;
  std::map<DatabaseId, Lease> leases;
  /** The lowest term of each database that was not released. */
  std::map<DatabaseId, std::uint64_t> lowest_unreleased_terms;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LEASE_LEASE_HOLDER_H_
