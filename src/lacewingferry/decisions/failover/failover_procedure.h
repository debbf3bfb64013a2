#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_PROCEDURE_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_PROCEDURE_H_

// Defines FailoverRun, the replacement of one database's primary in one term.

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

/** What the runs of all databases share. */
struct FailoverParts {
  const FailoverContext& context;
  MemberCommander& commander;
  const LeaseGrantor& grantor;
};

/**
 * Takes a database from the beginning of a term to a primary that leads it:
 *
 *   electing    has the members fenced and asks the holders of leases on
 *               earlier terms to release them, both at once. When a majority
 *               of the whole group is fenced and no earlier lease is in force
 *               any more, proposes the fenced member with the highest position
 *   promoting   has the chosen member promoted, then the others follow it.
 *               When a majority is in the term, proposes to confirm it
 *
 * A fenced member takes nothing more from an earlier primary. So a write that
 * was acknowledged before is held by one of any majority of fenced members,
 * and a write that isn't held by them can't be acknowledged later. Positions
 * that were read before the fence prove neither and are never looked at.
 *
 * The run keeps nothing that has to survive: a new leader of control starts it
 * anew from the replicated entry, and each command has the same effect when it
 * is run again.
 */
class FailoverRun {
 public:
  /** Starts in the phase of the entry. */
  FailoverRun(std::chrono::steady_clock::time_point now,
              const FailoverParts& parts, const DatabaseTerm& entry);

  FailoverRun(const FailoverRun&) = delete;
  FailoverRun& operator=(const FailoverRun&) = delete;

  /** Takes the entry's next phase within the same term. */
  void OnPhase(std::chrono::steady_clock::time_point now,
               const DatabaseTerm& entry);

  /** Looks again after a lease was released. */
  void OnLeaseReleased(std::chrono::steady_clock::time_point now);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::chrono::steady_clock::time_point NextWakeup() const {
    return this->next_round;
  }

  /** Whether the primary leads and nothing is left to be ordered. */
  bool Finished(std::chrono::steady_clock::time_point now) const;

  std::uint64_t Term() const { return this->entry.term; }

 private:
  void Elect(std::chrono::steady_clock::time_point now);
  void FenceMissing(std::chrono::steady_clock::time_point now);
  void AskForReleases(std::chrono::steady_clock::time_point now);
  void OnFenced(std::chrono::steady_clock::time_point now,
                const MemberCommandResult& result);
  void TryChoose(std::chrono::steady_clock::time_point now);
  void Promote(std::chrono::steady_clock::time_point now);
  void OnPromoted(std::chrono::steady_clock::time_point now,
                  const MemberCommandResult& result);
  void OrderToFollow(std::chrono::steady_clock::time_point now);
  void OnFollows(std::chrono::steady_clock::time_point now,
                 const MemberCommandResult& result);
  void TryConfirm(std::chrono::steady_clock::time_point now);
  void Supersede(std::chrono::steady_clock::time_point now,
                 std::uint64_t higher_term, const char* reason);
  void Propose(std::chrono::steady_clock::time_point now,
               const DatabaseCommand& command);
  void ReportDroppedTail(const FencedMember& member);
  DatabaseStamp Stamp() const;

  FailoverParts parts;
  DatabaseTerm entry;
  std::map<MemberId, FencedMember> fenced;
  /** The members that a command is under way to. */
  std::set<MemberId> busy;
  /** The members that are known to lead or follow in this term. */
  std::set<MemberId> in_term;
  bool promoted = false;
  std::chrono::steady_clock::time_point promotion_limit;
  std::chrono::steady_clock::time_point linger_limit;
  std::chrono::steady_clock::time_point next_round;
  std::chrono::steady_clock::time_point next_proposal;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_PROCEDURE_H_
