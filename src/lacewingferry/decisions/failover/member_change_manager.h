#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_MANAGER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_MANAGER_H_

// Defines MemberChangeManager, which adopts databases and changes their members
// one at a time.

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
 * Runs at the control leader. Before it proposes a change of members, it proves
 * that no acknowledged write depends on an earlier set of members:
 *
 *   wait    until no lease on an earlier set can be in force, so that no proxy
 *           acknowledges writes by a majority of that set any more
 *   end     ask the primary for the end of its log, which includes all writes
 *           that were ever acknowledged by an earlier set
 *   hold    ask the others until a majority of the present members holds the
 *           log up to there, and the new member does too
 *
 * Majorities of the members before and after one change have a member in
 * common, so a write that a majority of the present members holds survives the
 * change. Only answers to requests that were sent after the wait count; an
 * announcement may be older than it looks and proves nothing.
 *
 * The proof is valid within its term and members revision, which the proposed
 * command names. It is not replicated: a new control leader starts it again.
 */
class MemberChangeManager {
 public:
  /** All arguments must outlive this object, and the command sender must call
   * no hook of this object after its destruction. */
  MemberChangeManager(const FailoverContext& context,
                      MemberCommandSender& command_sender,
                      const LeaseGrantor& grantor);

  /** Starts anew after a change of leadership; the silence of members counts
   * from then. */
  void OnLeadership(std::chrono::steady_clock::time_point now);

  /** Records that a member announced itself, even if nothing changed. */
  void OnHeard(std::chrono::steady_clock::time_point now,
               const MemberInfo& member);

  /** Whether a new member can be used because one is missing or lost. */
  bool NeedsMember(std::chrono::steady_clock::time_point now,
                   const DatabaseTerm& entry) const;

  /** Finds the change that a database needs, and takes the next step towards
   * it. */
  void Advance(std::chrono::steady_clock::time_point now,
               const DatabaseId& database);

 private:
  /** A change that is being proved safe, or was proposed. */
  struct Proof {
    std::uint64_t id = 0;
    DatabaseTerm entry;
    MemberChange change;
    /** All writes acknowledged by an earlier set of members are before this
     * position. */
    std::optional<LogPosition> log_end;
    /** The servers that hold the log up to log_end. */
    std::set<MemberId> in_sync;
    /** The servers that were asked for a report and have not answered yet. */
    std::set<MemberId> reports_requested;
    bool proposed = false;
    std::chrono::steady_clock::time_point deadline;
  };

  void Adopt(std::chrono::steady_clock::time_point now,
             const DatabaseId& database);
  void Begin(std::chrono::steady_clock::time_point now,
             const DatabaseTerm& entry);
  void RequestMissingReports(std::chrono::steady_clock::time_point now,
                             Proof& proof);
  void RequestReport(std::chrono::steady_clock::time_point now, Proof& proof,
                     const MemberId& member);
  void OnReport(std::chrono::steady_clock::time_point now, std::uint64_t id,
                const MemberCommandResult& report);
  void ProposeIfSafe(std::chrono::steady_clock::time_point now, Proof& proof);
  void Propose(std::chrono::steady_clock::time_point now, Proof& proof);
  std::vector<MemberLiveness> Liveness(
      std::chrono::steady_clock::time_point now,
      const DatabaseTerm& entry) const;

  const FailoverContext& context;
  MemberCommandSender& command_sender;
  const LeaseGrantor& grantor;
  std::chrono::steady_clock::time_point leader_since;
  std::uint64_t next_id = 1;
  /** When each server of a database was last heard from. */
  std::map<DatabaseId,
           std::map<MemberId, std::chrono::steady_clock::time_point>>
      last_heard;
  std::map<DatabaseId, std::chrono::steady_clock::time_point> next_adoption;
  std::map<DatabaseId, Proof> proofs;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_CHANGE_MANAGER_H_
