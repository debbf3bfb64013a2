#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CHANGES_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CHANGES_H_

// Defines FleetChanges, which tells a proxy what changed since the state that
// it knows.

#include <cstdint>
#include <map>

#include "lacewingferry/core/messages/fleet_messages.h"
#include "lacewingferry/decisions/failover/database_terms.h"
#include "lacewingferry/decisions/roster/roster.h"

namespace lacewingferry {

/**
 * Notes at which revision of the replicated state each member and term was seen
 * to change. A process of control that looks late notes a later revision, so
 * that it tells too much rather than too little.
 */
class FleetChanges {
 public:
  /** Compares with what was seen before. */
  void Update(const Roster& roster, const DatabaseTerms& terms,
              std::uint64_t revision);

  /** What changed after a revision; the whole state where that isn't known. */
  FleetState Since(std::uint64_t revision) const;

  /** The revision of the last Update. */
  std::uint64_t Revision() const { return this->newest; }

 private:
  template <typename Entry>
  struct Seen {
    Entry entry;
    std::uint64_t changed = 0;
  };

  void UpdateMembers(const Roster& roster);
  void UpdateTerms(const DatabaseTerms& terms);
  void ForgetOldest();

  std::uint64_t newest = 0;
  /** Changes after this revision are known. */
  std::uint64_t known_from = 0;
  std::map<MemberId, Seen<MemberAnnouncement>> members;
  std::map<DatabaseId, Seen<DatabaseTerm>> terms;
  /** When members that left were seen to be gone. */
  std::map<MemberId, std::uint64_t> gone;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CHANGES_H_
