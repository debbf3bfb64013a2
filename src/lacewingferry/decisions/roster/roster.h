#ifndef LACEWINGFERRY_DECISIONS_ROSTER_ROSTER_H_
#define LACEWINGFERRY_DECISIONS_ROSTER_ROSTER_H_

// Defines Roster, the replicated list of the members that have announced
// themselves to control.

#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/fleet_command.h"

namespace lacewingferry {

/**
 * The members by ID. All control replicas apply the same commands in the same
 * order, so they hold the same roster.
 *
 * An announcement from an earlier run of a member never replaces one of a later
 * run, and only the run that began last is kept for an address: an announcement
 * may be delayed until its sender has stopped and another member has its
 * address.
 */
class Roster {
 public:
  /** Whether an announcement differs from the roster's entry in more than its
   * sequence. */
  bool WouldChange(const MemberAnnouncement& announcement) const;

  /** Whether an announcement comes from an earlier run than a known one of the
   * same member or at the same address, or from a run that has left. */
  bool IsOutdated(const MemberAnnouncement& announcement) const;

  /** The runs that a command ends: those that it displaces, those of the same
   * member that came before it, or the one that leaves. */
  std::vector<MemberAnnouncement> EndedBy(const RosterCommand& command) const;

  /** Applies a committed command; returns whether anything changed. */
  bool Apply(const RosterCommand& command);

  /** Returns a member's entry, or nullptr if there is none. */
  const MemberAnnouncement* Find(const MemberId& member) const;

  const std::map<MemberId, MemberAnnouncement>& Members() const {
    return this->members;
  }

  /** Returns the members of a database, ordered by ID. */
  std::vector<MemberId> MembersOf(const DatabaseId& database) const;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("members", self.members);
    visit("left", self.left);
  }

 private:
  bool ApplyEnter(const MemberAnnouncement& announcement);
  bool ApplyLeave(const LeaveMember& leave);

  std::map<MemberId, MemberAnnouncement> members;
  /** The last incarnation of each member that left, so that a delayed
   * announcement doesn't enter it again. */
  std::map<MemberId, std::uint64_t> left;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_ROSTER_ROSTER_H_
