#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_GROUP_KEEPER_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_GROUP_KEEPER_H_

// Defines GroupKeeper, control's care for one group of members.

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "lacewingferry/decisions/switchover/primary_watch.h"
#include "lacewingferry/decisions/switchover/succession_run.h"
#include "lacewingferry/decisions/switchover/switchover_context.h"

namespace lacewingferry {

/** A position that a primary's log had after a question was sent. */
struct PositionSampled {
  LogPosition position;
  std::chrono::steady_clock::time_point asked;
};

/**
 * Adopts a group with the primary that it has, watches that primary, and has
 * it replaced when it is lost or leaves. Lives at the leader of control; a new
 * leader makes a new one from the replicated state.
 */
class GroupKeeper : public std::enable_shared_from_this<GroupKeeper> {
 public:
  GroupKeeper(const SwitchoverContext& shared, DatabaseId group,
              std::chrono::steady_clock::time_point now);

  /** Looks at the replicated state after a change. */
  void OnChanged(std::chrono::steady_clock::time_point now);

  /** Notes what a proxy had acknowledged when it gave up its lease. */
  void OnAcknowledged(const LogPosition& position);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::chrono::steady_clock::time_point NextWakeup() const;

  /** The process was suspended: silence during that time proves nothing. */
  void OnSuspended();

  /** A position that covers what was acknowledged before a time; none while
   * it isn't known. */
  std::optional<PositionSampled> Sample(
      std::chrono::steady_clock::time_point now) const;

 private:
  const DatabaseTerm* Entry() const;
  std::vector<MemberId> Members() const;
  void LookForPrimary(std::chrono::steady_clock::time_point now);
  void TryAdopt(std::chrono::steady_clock::time_point now);
  void Watch(std::chrono::steady_clock::time_point now,
             const DatabaseTerm& entry);
  void AskReplicas(std::chrono::steady_clock::time_point now,
                   const DatabaseTerm& entry);
  void OnReplicaAnswer(const MemberId& replica, std::uint64_t term,
                       const AdminAnswer& answer);
  void AskPrimary(const DatabaseTerm& entry);
  void OnPrimaryAnswer(std::chrono::steady_clock::time_point asked,
                       const MemberId& primary, const AdminAnswer& answer);
  void ReplaceIfNeeded(std::chrono::steady_clock::time_point now,
                       const DatabaseTerm& entry);
  bool HasSuccessor(const DatabaseTerm& entry) const;
  void BeginNextTerm(std::chrono::steady_clock::time_point now,
                     const DatabaseTerm& entry, const char* why);
  void EnterMembers(std::chrono::steady_clock::time_point now,
                    const DatabaseTerm& entry);
  void RecordPhase(const DatabaseTerm& entry);
  void StartRun(std::chrono::steady_clock::time_point now,
                const DatabaseTerm& entry);
  void Propose(std::chrono::steady_clock::time_point now,
               const DatabaseCommand& command);

  const SwitchoverContext& context;
  DatabaseId database;
  PrimaryWatch watch;
  std::shared_ptr<SuccessionRun> run;
  std::uint64_t run_term = 0;
  std::uint64_t watched_term = 0;
  std::optional<PositionSampled> sample;
  /** The run of the primary that was watched first in this term; another run
   * under the same name may hold nothing. */
  std::uint64_t watched_incarnation = 0;
  /** While there is no entry: what the members said. */
  std::map<MemberId, AdminAnswer> answers;
  std::set<MemberId> asking;
  bool primary_asked = false;
  /** The term and phase that the log was told last, and why the last term was
   * begun, if this leader began it. */
  std::optional<std::pair<std::uint64_t, TermPhase>> recorded;
  std::string reason;
  std::chrono::steady_clock::time_point first_seen;
  std::chrono::steady_clock::time_point next_poll;
  std::chrono::steady_clock::time_point next_replica_poll;
  std::chrono::steady_clock::time_point next_proposal;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_GROUP_KEEPER_H_
