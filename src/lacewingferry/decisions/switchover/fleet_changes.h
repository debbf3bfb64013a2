#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CHANGES_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CHANGES_H_

// Defines FleetChanges, which computes what changed in the fleet since the
// state that a proxy has.

#include <cstdint>
#include <map>

#include "lacewingferry/core/messages/fleet_messages.h"
#include "lacewingferry/decisions/failover/database_terms.h"
#include "lacewingferry/decisions/roster/roster.h"

namespace lacewingferry {

/**
 * Records for each member and each database term the revision of the replicated
 * state at which a change was seen. A control process that compares late
 * records a later revision, so a proxy may be sent an entry again but never
 * misses one.
 */
class FleetChanges {
 public:
  /** Compares the state at a revision with that of the last call. */
  void Update(const Roster& roster, const DatabaseTerms& terms,
              std::uint64_t revision);

  /** The changes after a revision, or the whole state where the changes since
   * that revision are not known. */
  FleetState Since(std::uint64_t revision) const;

  /** The revision of the last Update. */
  std::uint64_t Revision() const { return this->latest_revision; }

 private:
  template <typename Entry>
  struct Tracked {
    Entry entry;
    std::uint64_t changed_revision = 0;
  };

  void UpdateMembers(const Roster& roster);
  void UpdateTerms(const DatabaseTerms& terms);
  void DropOldestGone();

  std::uint64_t latest_revision = 0;
  /** All changes after this revision are recorded. */
  std::uint64_t tracked_since = 0;
  std::map<MemberId, Tracked<MemberAnnouncement>> members;
  std::map<DatabaseId, Tracked<DatabaseTerm>> terms;
  /** The revision at which each removed member was seen to be missing. */
  std::map<MemberId, std::uint64_t> gone;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CHANGES_H_
