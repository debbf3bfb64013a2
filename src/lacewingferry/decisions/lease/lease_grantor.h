#ifndef LACEWINGFERRY_DECISIONS_LEASE_LEASE_GRANTOR_H_
#define LACEWINGFERRY_DECISIONS_LEASE_LEASE_GRANTOR_H_

// Defines LeaseGrantor, with which the control leader grants proxies leases on
// database terms.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/decisions/failover/database_terms.h"
#include "lacewingferry/decisions/lease/lease_timing.h"

namespace lacewingferry {

/**
 * Grants leases while this replica leads control, and computes when no proxy
 * can acknowledge writes in an ended term any more.
 *
 * A grant covers the databases that the proxy listed with the current term and
 * members revision. The leader calls OnRenewal only while its applied state is
 * current (RaftNode::CanServeReads), so no grant covers a term after the next
 * one began.
 *
 * A new leader doesn't know which leases its predecessor granted. The
 * predecessor could grant until the new leader was elected, so the new leader
 * treats every term as leased for one full lease duration after its election.
 */
class LeaseGrantor {
 public:
  /** Keeps a reference to the terms, which must outlive the grantor. */
  explicit LeaseGrantor(const DatabaseTerms& terms, LeaseTiming timing = {});

  /** Called when this replica becomes the control leader or stops being it.
   * Forgets all holders and grants. */
  void OnLeadership(std::chrono::steady_clock::time_point now, bool leader);

  /** Returns the reply to a renewal; nullopt if this replica isn't the leader
   * or the renewal comes from an earlier run of the proxy. */
  std::optional<LeaseGrant> OnRenewal(std::chrono::steady_clock::time_point now,
                                      const NodeId& from,
                                      const LeaseRenewal& renewal);

  /** Ends a holder's leases on the terms that it released. */
  void OnReleased(std::chrono::steady_clock::time_point now, const NodeId& from,
                  const LeaseReleased& released);

  /** When the last lease that a proxy may hold on an earlier term or members
   * revision than the given one expires; a time in the past if none is in
   * force.
   */
  std::chrono::steady_clock::time_point EarlierLeasesExpireAt(
      const DatabaseStamp& current) const;

  /** The proxies that may hold a lease on an earlier term or members revision
   * than the given one. */
  std::vector<NodeId> EarlierHolders(std::chrono::steady_clock::time_point now,
                                     const DatabaseStamp& current) const;

  /** Whether every proxy that could acknowledge under an earlier term or
   * members revision at a time or later has said, when it released its lease,
   * what it acknowledged. */
  bool AllReportedSince(std::chrono::steady_clock::time_point since,
                        const DatabaseStamp& current) const;

  /** Whether the proxy's last database list contains the database. */
  bool RequestsLease(const NodeId& holder, const DatabaseId& database) const;

  /** When any holder last renewed a lease on the then current term of the
   * database; nullopt if none did. */
  std::optional<std::chrono::steady_clock::time_point> LastRenewal(
      const DatabaseId& database) const;

 private:
  /** The latest expiry of a proxy's leases on one stamp. */
  struct Grant {
    DatabaseStamp stamp;
    std::chrono::steady_clock::time_point until;
    /** The run of the proxy. */
    std::uint64_t incarnation = 0;
  };
  struct HolderState {
    std::uint64_t incarnation = 0;
    std::uint64_t databases_revision = 0;
    /** Whether the proxy has sent its database list. */
    bool databases_known = false;
    std::vector<DatabaseStamp> databases;
  };
  /** Keyed by database first, so that a failover examines only the holders of
   * its own database. */
  using Grants = std::map<DatabaseId, std::map<NodeId, std::vector<Grant>>>;

  /** Notes that a lease ended and its holder didn't say what it
   * acknowledged. */
  void NoteUnreported(const Grant& grant);
  void RecordGrant(std::chrono::steady_clock::time_point now,
                   const NodeId& holder, const DatabaseStamp& stamp);

  const DatabaseTerms& terms;
  LeaseTiming timing;
  bool leader = false;
  /** When all leases that a former leader could have granted have expired. */
  std::chrono::steady_clock::time_point former_leases_expire_at;
  std::map<NodeId, HolderState> holders;
  Grants grants_by_database;
  /** The latest expiry of leases that ended without a report. */
  std::map<DatabaseId, std::chrono::steady_clock::time_point> unreported_until;
  std::map<DatabaseId, std::chrono::steady_clock::time_point> last_renewals;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LEASE_LEASE_GRANTOR_H_
