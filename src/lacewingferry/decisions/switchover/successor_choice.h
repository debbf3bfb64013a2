#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_CHOICE_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_CHOICE_H_

// Defines ChooseSuccessor, which chooses a group's next primary and makes sure
// that it holds every acknowledged commit.

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "lacewingferry/core/fleet_command.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/decisions/switchover/run_evidence.h"

namespace lacewingferry {

/** What a member answered once it could acknowledge nothing more in the
 * earlier terms: a paused replica, or the last leader after the leases ended.
 */
struct SuccessorAnswer {
  MemberRun run;
  AvailabilityZone zone;
  LogPosition received;
  /** Whether the member is about to stop and asked for no new work. */
  bool leaving = false;
  /** Whether it leads, and the term that it is in by the members' count. */
  bool primary = false;
  std::uint64_t term = 0;
  /** Whether this very run led when the last position was read from it. */
  bool led = false;
  std::optional<RunProof> proof;
};

/** What is known once the leases on earlier terms have ended. */
struct SuccessorChoiceInput {
  std::vector<SuccessorAnswer> answers;
  /** The replicas that have not confirmed the pause. */
  std::set<MemberId> missing;
  /** The member that acknowledged commits last, and the term that it led by the
   * members' count; 0 if that isn't known. */
  MemberId leader;
  std::uint64_t leading_term = 0;
  AvailabilityZone leader_zone;
  /** The least position of any successor, from the control log: it covers the
   * start of the last term and the runs that ended. */
  LogPosition floor;
  /** The runs that ended and that the floor doesn't cover. */
  std::vector<MemberRun> ended;
  /** The newest position that any proxy reported as acknowledged. It may count
   * commits that were not acknowledged. */
  LogPosition acknowledged;
  /** A position within which every acknowledged commit is, by the reports of
   * all proxies that held leases; none unless all of them reported. */
  std::optional<LogPosition> reported;
  /** The only member that may lead, since a call for its promotion may still
   * take effect; none if any may. */
  std::optional<MemberId> only_candidate;

  bool MayLead(const MemberId& member) const {
    return !this->only_candidate || *this->only_candidate == member;
  }
};

/** A proof that every acknowledged commit is within a position. */
struct CommitProof {
  LogPosition position;
  /** primary: the log of the member that leads; leader: that of the last
   * leader, in the same run; replicas: the newest of all replicas; reports:
   * what the proxies acknowledged. */
  const char* source = "";
};

/** The proofs that there are, the lowest position first. */
std::vector<CommitProof> ProofsOf(const SuccessorChoiceInput& input);

/** The member that leads the newest term and has every acknowledged commit;
 * none if no such member answered. */
const SuccessorAnswer* FindPrimary(const SuccessorChoiceInput& input);

/**
 * Chooses a replica that is proved to hold every acknowledged commit; none
 * while that is proved of none.
 *
 * A commit is acknowledged only after the primary and at least one replica
 * received it, and only by a proxy that holds a lease. So every acknowledged
 * commit is within each of these positions:
 *
 *   primary   that of a member which leads the newest term
 *   leader    that of the last leader, if it is the run that led
 *   replicas  the newest of all replicas, if each of them answered in a run
 *             that is proved to be unbroken, and no run ended uncovered
 *   reports   the newest that the proxies acknowledged, if each proxy reported
 *             that held a lease since the primary's position was last read
 *
 * No proof rests on time that passed. Among several candidates, prefers one
 * that isn't leaving, then one in the last leader's zone, then the first by
 * identity.
 */
std::optional<SuccessorAnswer> ChooseSuccessor(
    const SuccessorChoiceInput& input);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSOR_CHOICE_H_
