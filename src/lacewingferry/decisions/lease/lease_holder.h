#ifndef LACEWINGFERRY_DECISIONS_LEASE_LEASE_HOLDER_H_
#define LACEWINGFERRY_DECISIONS_LEASE_LEASE_HOLDER_H_

// Defines LeaseHolder, a proxy's side of the leases on database terms.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/decisions/lease/lease_timing.h"

namespace lacewingferry {

/** What a LeaseHolder acts through. */
struct LeaseHolderHooks {
  /** Sends to the leader of control; the message may get lost. */
  std::function<void(const LeaseRenewal&)> renew;
  /** Answers the leader of control. */
  std::function<void(const LeaseReleased&)> released;
  /** Writes of a database may be acknowledged in the stamp's term until the
   * given time, which is now when a lease ends early. A database that is never
   * named here has no lease. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const DatabaseStamp& stamp,
                     std::chrono::steady_clock::time_point until)>
      on_lease;
  /** Nothing more may be acknowledged in the given term of the database or in
   * an earlier one. In force when the hook returns. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const DatabaseId& database, std::uint64_t term)>
      release_term;
};

/**
 * Renews one lease for all databases whose primary this proxy owns
 * connections to. A grant counts from the sending of its request, less an
 * allowance for clock drift, so it ends here before it ends at the grantor.
 * Which databases a grant covers is settled by the list that the grantor
 * knew: one that was added after the request isn't covered.
 */
class LeaseHolder {
 public:
  LeaseHolder(LeaseHolderHooks hooks, std::uint64_t incarnation,
              LeaseTiming timing = {});

  /** Takes the databases for which this proxy may acknowledge writes, with
   * the terms and members that it knows. A change is sent at once. */
  void SetDatabases(std::chrono::steady_clock::time_point now,
                    std::vector<DatabaseStamp> stamps);

  /** Takes an answer of control. */
  void OnGrant(std::chrono::steady_clock::time_point now,
               const LeaseGrant& grant);

  /** Gives up the terms before the one named, and says so. */
  void OnRelease(std::chrono::steady_clock::time_point now,
                 const LeaseRelease& release);

  /** Sends a renewal at once, for example to a new leader of control. */
  void RenewNow(std::chrono::steady_clock::time_point now);

  /** Gives up every term, for a planned stop. */
  void ReleaseAll(std::chrono::steady_clock::time_point now);

  /** Whether a write of the database may be acknowledged in a term now. */
  bool Covers(std::chrono::steady_clock::time_point now,
              const DatabaseId& database, std::uint64_t term) const;

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const {
    return this->next_renewal;
  }

 private:
  /** A request whose answer may still come. */
  struct Request {
    std::chrono::steady_clock::time_point sent;
    std::vector<DatabaseStamp> databases;
  };
  struct Lease {
    std::uint64_t term = 0;
    std::chrono::steady_clock::time_point until;
  };

  void GiveUp(std::chrono::steady_clock::time_point now,
              const DatabaseId& database, std::uint64_t before_term);
  bool GivenUp(const DatabaseStamp& stamp) const;

  LeaseHolderHooks hooks;
  std::uint64_t incarnation;
  LeaseTiming timing;
  std::vector<DatabaseStamp> databases;
  std::uint64_t databases_revision = 0;
  bool list_databases = true;
  std::uint64_t next_sequence = 1;
  std::chrono::steady_clock::time_point next_renewal;
  std::map<std::uint64_t, Request> requests;
  std::map<DatabaseId, Lease> leases;
  /** The lowest term of each database that was not given up. */
  std::map<DatabaseId, std::uint64_t> lowest_terms;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LEASE_LEASE_HOLDER_H_
