#ifndef LACEWINGFERRY_DECISIONS_ROSTER_ROSTER_H_
#define LACEWINGFERRY_DECISIONS_ROSTER_ROSTER_H_

// Defines Roster, the replicated list of the members that announced themselves
// to control.

#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/fleet_command.h"

namespace lacewingferry {

/**
 * The members by identity. All replicas of control apply the same commands in
 * the same order and so hold the same roster.
 *
 * An announcement from an earlier run of a member never replaces a later one,
 * and at one address only the run that began last counts: an announcement may
 * have been held up until its sender was gone and another had its address.
 */
class Roster {
 public:
  /** Whether an announcement says anything that the roster doesn't hold. */
  bool Changes(const MemberAnnouncement& announcement) const;

  /** Whether an announcement comes from an earlier run than one that is
   * known, of the same member or at the same address. */
  bool Outdated(const MemberAnnouncement& announcement) const;

  /** Applies a committed command; returns whether anything changed. */
  bool Apply(const RosterCommand& command);

  /** The entry of a member; nullptr if there is none. */
  const MemberAnnouncement* Find(const MemberId& member) const;

  const std::map<MemberId, MemberAnnouncement>& Members() const {
    return this->members;
  }

  /** The members of one group, in the order of their identities. */
  std::vector<MemberId> MembersOf(const DatabaseId& database) const;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("members", self.members);
    visit("left", self.left);
  }

 private:
  bool Enter(const MemberAnnouncement& announcement);
  bool Leave(const LeaveMember& leave);

  std::map<MemberId, MemberAnnouncement> members;
  /** The last run of each member that left, so that a late announcement
   * doesn't enter it again. */
  std::map<MemberId, std::uint64_t> left;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_ROSTER_ROSTER_H_
