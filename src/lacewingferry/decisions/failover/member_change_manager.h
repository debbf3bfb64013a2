#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_MANAGER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_MANAGER_H_

// Defines MemberChanges, which takes databases into control's care and changes
// their members one at a time.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/decisions/failover/failover_context.h"
#include "lacewingferry/decisions/failover/member_change.h"
#include "lacewingferry/decisions/failover/member_command_sender.h"
#include "lacewingferry/decisions/lease/lease_grantor.h"

namespace lacewingferry {

/**
 * Runs at the leader of control. Before it proposes a change it proves that no
 * acknowledged write depends on the members before the present ones:
 *
 *   wait    until no lease on earlier members can be in force, so that nobody
 *           acknowledges by a majority of those any more
 *   end     ask the primary for the end of its log, which includes all that
 *           was ever acknowledged by earlier members
 *   hold    ask the others until a majority of the present members holds the
 *           log up to there, and the newcomer does too
 *
 * Majorities of the members before and after one change share a member, so a
 * write that a majority of the present ones holds survives the change. The
 * answers are to questions that were sent after the wait; an announcement may
 * be older than it looks and proves nothing.
 *
 * What is gathered holds within its term and revision, which the proposed
 * command names; it is lost with the leader of control and gathered anew.
 */
class MemberChanges {
 public:
  /** All must outlive this object, and the commander must run no command of
   * it after its end. */
  MemberChanges(const FailoverContext& context, MemberCommander& commander,
                const LeaseGrantor& grantor);

  /** Takes office or loses it; the silence of members counts from then. */
  void OnLeadership(std::chrono::steady_clock::time_point now);

  /** Notes that a member was heard, also if it said nothing new. */
  void OnHeard(std::chrono::steady_clock::time_point now,
               const MemberInfo& member);

  /** Whether a new member could be of use: one is missing or lost. */
  bool HasRoom(std::chrono::steady_clock::time_point now,
               const DatabaseTerm& entry) const;

  /** Looks for a change that is called for, and takes the next step to it. */
  void Consider(std::chrono::steady_clock::time_point now,
                const DatabaseId& database);

 private:
  /** A change on its way to being proposed. */
  struct Proof {
    std::uint64_t number = 0;
    DatabaseTerm entry;
    MemberChange change;
    /** Everything acknowledged by earlier members is before this. */
    std::optional<LogPosition> end;
    /** The members that hold the log up to the end. */
    std::set<MemberId> holders;
    /** The members that a question is under way to. */
    std::set<MemberId> asked;
    bool proposed = false;
    std::chrono::steady_clock::time_point limit;
  };

  void Adopt(std::chrono::steady_clock::time_point now,
             const DatabaseId& database);
  void Begin(std::chrono::steady_clock::time_point now,
             const DatabaseTerm& entry);
  void AskMissing(std::chrono::steady_clock::time_point now, Proof& proof);
  void Ask(std::chrono::steady_clock::time_point now, Proof& proof,
           const MemberId& member);
  void OnReport(std::chrono::steady_clock::time_point now, std::uint64_t number,
                const MemberCommandResult& report);
  void ProposeIfProven(std::chrono::steady_clock::time_point now, Proof& proof);
  void Propose(std::chrono::steady_clock::time_point now, Proof& proof);
  std::vector<HeardMember> Heard(std::chrono::steady_clock::time_point now,
                                 const DatabaseTerm& entry) const;

  const FailoverContext& context;
  MemberCommander& commander;
  const LeaseGrantor& grantor;
  std::chrono::steady_clock::time_point in_office_since;
  std::uint64_t next_number = 1;
  /** When each server of a database was last heard. */
  std::map<DatabaseId,
           std::map<MemberId, std::chrono::steady_clock::time_point>>
      heard;
  std::map<DatabaseId, std::chrono::steady_clock::time_point> next_adoption;
  std::map<DatabaseId, Proof> proofs;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_MANAGER_H_
