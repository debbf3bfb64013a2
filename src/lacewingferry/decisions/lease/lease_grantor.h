#ifndef LACEWINGFERRY_DECISIONS_LEASE_LEASE_GRANTOR_H_
#define LACEWINGFERRY_DECISIONS_LEASE_LEASE_GRANTOR_H_

// Defines LeaseGrantor, the control leader's side of the leases on database
// terms.

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
 * Grants leases while this replica leads control, and knows from when on no
 * proxy can acknowledge writes in a term that ended.
 *
 * A grant covers the databases that the proxy listed whose term and members
 * are the current ones. The leader calls OnRenewal only while its applied
 * state is current (RaftNode::CanServeReads), so no grant covers a term after
 * the next one began.
 *
 * A new leader doesn't know what the former one granted. The former could
 * grant until the new one was elected, so the new one counts every term as
 * leased for one full lease from then on.
 */
class LeaseGrantor {
 public:
  /** Reads the terms where they are kept; they must outlive the grantor. */
  explicit LeaseGrantor(const DatabaseTerms& terms, LeaseTiming timing = {});

  /** Takes office, or loses it: all that is known of holders is dropped. */
  void OnLeadership(std::chrono::steady_clock::time_point now, bool leader);

  /** Answers a renewal; none when this replica doesn't lead. */
  std::optional<LeaseGrant> OnRenewal(std::chrono::steady_clock::time_point now,
                                      const NodeId& from,
                                      const LeaseRenewal& renewal);

  /** Takes a holder's promise to give up terms. */
  void OnReleased(std::chrono::steady_clock::time_point now, const NodeId& from,
                  const LeaseReleased& released);

  /** When no lease on a term before the given one, or on members before the
   * given revision of it, can be in force any more; a time in the past if none
   * is now. */
  std::chrono::steady_clock::time_point FreeAt(
      const DatabaseStamp& current) const;

  /** The proxies that may hold a lease on such an earlier term. */
  std::vector<NodeId> Holders(std::chrono::steady_clock::time_point now,
                              const DatabaseStamp& current) const;

  /** Whether a proxy asks for leases on a database. */
  bool Lists(const NodeId& holder, const DatabaseId& database) const;

  /** When any holder last renewed a lease that covers the current term of the
   * database; none if there was none. */
  std::optional<std::chrono::steady_clock::time_point> LastRenewal(
      const DatabaseId& database) const;

 private:
  /** The newest end of a proxy's leases on one stamp. */
  struct Grant {
    DatabaseStamp stamp;
    std::chrono::steady_clock::time_point until;
  };
  struct Holder {
    std::uint64_t incarnation = 0;
    std::uint64_t databases_revision = 0;
    /** Whether the databases of this revision are known. */
    bool listed = false;
    std::vector<DatabaseStamp> databases;
  };
  /** Keyed by database, so that a failover looks at its own holders only. */
  using Grants = std::map<DatabaseId, std::map<NodeId, std::vector<Grant>>>;

  void Record(std::chrono::steady_clock::time_point now, const NodeId& holder,
              const DatabaseStamp& stamp);

  const DatabaseTerms& terms;
  LeaseTiming timing;
  bool leader = false;
  /** The end of all leases that a former leader could have granted. */
  std::chrono::steady_clock::time_point inherited_until;
  std::map<NodeId, Holder> holders;
  Grants grants;
  std::map<DatabaseId, std::chrono::steady_clock::time_point> last_renewals;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LEASE_LEASE_GRANTOR_H_
