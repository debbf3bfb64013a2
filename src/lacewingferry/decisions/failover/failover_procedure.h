#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_PROCEDURE_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_PROCEDURE_H_

// Defines FailoverProcedure, the replacement of one database's primary in one
// term.

#include <chrono>
#include <cstdint>
#include <map>
#include <set>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/decisions/failover/failover_context.h"
#include "lacewingferry/decisions/failover/member_command_sender.h"
#include "lacewingferry/decisions/failover/primary_choice.h"
#include "lacewingferry/decisions/lease/lease_grantor.h"

namespace lacewingferry {

/** The objects that the failover procedures of all databases use. */
struct FailoverDependencies {
  const FailoverContext& context;
  MemberCommandSender& command_sender;
  const LeaseGrantor& grantor;
};

/**
 * Takes a database from the beginning of a term to a confirmed primary:
 *
 *   electing    fences the members and asks the holders of leases on earlier
 *               terms to release them, both at once. When a majority of the
 *               whole group is fenced and no earlier lease is in force any
 *               more, proposes the fenced member with the highest position
 *   promoting   promotes the chosen member, then makes the others follow it.
 *               When a majority is in the term, proposes to confirm the primary
 *
 * A fenced member accepts nothing more from an earlier primary. So each write
 * that was acknowledged before the fence is held by at least one member of any
 * fenced majority, and a write that none of them holds can't be acknowledged
 * later. Positions that were read before the fence prove neither and are not
 * used.
 *
 * The procedure has no state that must survive: a new control leader starts it
 * again from the replicated entry, and each command can be repeated without
 * further effect.
 */
class FailoverProcedure {
 public:
  /** Starts in the phase of the entry. */
  FailoverProcedure(std::chrono::steady_clock::time_point now,
                    const FailoverDependencies& dependencies,
                    const DatabaseTerm& entry);

  FailoverProcedure(const FailoverProcedure&) = delete;
  FailoverProcedure& operator=(const FailoverProcedure&) = delete;

  /** Continues with the entry's next phase within the same term. */
  void OnPhase(std::chrono::steady_clock::time_point now,
               const DatabaseTerm& entry);

  /** Checks, after a lease was released, whether a primary can be chosen. */
  void OnLeaseReleased(std::chrono::steady_clock::time_point now);

  /** Runs the work that is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick must be called next. */
  std::chrono::steady_clock::time_point NextWakeup() const {
    return this->next_round;
  }

  /** Whether the primary is confirmed and all members are in its term, or the
   * time for making them follow is over. */
  bool Finished(std::chrono::steady_clock::time_point now) const;

  std::uint64_t Term() const { return this->entry.term; }

 private:
  void Elect(std::chrono::steady_clock::time_point now);
  void FenceMembers(std::chrono::steady_clock::time_point now);
  void RequestLeaseReleases(std::chrono::steady_clock::time_point now);
  void OnFenceResult(std::chrono::steady_clock::time_point now,
                     const MemberCommandResult& result);
  void TryChoosePrimary(std::chrono::steady_clock::time_point now);
  void Promote(std::chrono::steady_clock::time_point now);
  void OnPromoteResult(std::chrono::steady_clock::time_point now,
                       const MemberCommandResult& result);
  void SendFollowCommands(std::chrono::steady_clock::time_point now);
  void OnFollowResult(std::chrono::steady_clock::time_point now,
                      const MemberCommandResult& result);
  void TryConfirm(std::chrono::steady_clock::time_point now);
  void ProposeNextTerm(std::chrono::steady_clock::time_point now,
                       std::uint64_t higher_term, const char* reason);
  void Propose(std::chrono::steady_clock::time_point now,
               const DatabaseCommand& command);
  void RecordDroppedTail(const FencedMember& member);
  DatabaseStamp Stamp() const;

  FailoverDependencies dependencies;
  DatabaseTerm entry;
  std::map<MemberId, FencedMember> fenced;
  /** The members to which a command was sent whose result is outstanding. */
  std::set<MemberId> command_pending;
  /** The members that are known to lead or follow in this term. */
  std::set<MemberId> in_term;
  bool promoted = false;
  std::chrono::steady_clock::time_point promotion_deadline;
  std::chrono::steady_clock::time_point follow_deadline;
  std::chrono::steady_clock::time_point next_round;
  std::chrono::steady_clock::time_point next_proposal;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_PROCEDURE_H_
