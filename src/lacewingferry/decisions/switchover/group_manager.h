#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_GROUP_MANAGER_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_GROUP_MANAGER_H_

// Defines GroupManager, which manages the primary of one group of members for
// the control leader.

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "lacewingferry/decisions/switchover/ended_run_watch.h"
#include "lacewingferry/decisions/switchover/primary_failure_detector.h"
#include "lacewingferry/decisions/switchover/run_evidence.h"
#include "lacewingferry/decisions/switchover/switchover_context.h"
#include "lacewingferry/decisions/switchover/switchover_procedure.h"

namespace lacewingferry {

/**
 * Adopts a group with its current primary, monitors that primary, and starts a
 * switchover when the primary is lost or leaves. It exists at the control
 * leader only; a new leader creates one from the replicated state.
 */
class GroupManager : public std::enable_shared_from_this<GroupManager> {
 public:
  GroupManager(const SwitchoverContext& shared, DatabaseId database_id,
               std::chrono::steady_clock::time_point now);

  /** Takes changes of the replicated state. */
  void OnStateChanged(std::chrono::steady_clock::time_point now);

  /** Takes the newest position that a proxy had acknowledged when it released
   * its lease. */
  void OnAcknowledged(const LogPosition& position);

  /** Takes a member's announcement, whether or not it says anything new. */
  void OnAnnounced(std::chrono::steady_clock::time_point now,
                   const MemberAnnouncement& announcement);

  /** Runs what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick must be called next. */
  std::chrono::steady_clock::time_point NextWakeup() const;

  /** Clears the failures of the primary after this process was suspended: it
   * may have missed answers during that time. */
  void OnSuspended();

  /** A position that covers every commit acknowledged before the time it is
   * returned with; none while no such position is known. */
  std::optional<PrimarySample> CurrentPosition(
      std::chrono::steady_clock::time_point now) const;

 private:
  const DatabaseTerm* Entry() const;
  std::vector<MemberId> Members() const;
  void DiscoverPrimary(std::chrono::steady_clock::time_point now);
  void TryAdopt(std::chrono::steady_clock::time_point now);
  void Monitor(std::chrono::steady_clock::time_point now,
               const DatabaseTerm& entry);
  void AskReplicas(std::chrono::steady_clock::time_point now,
                   const DatabaseTerm& entry);
  void OnReplicaAnswer(const MemberId& replica, std::uint64_t term,
                       const AdminAnswer& answer);
  /** Records a member that leads a later term than the one that was
   * confirmed. */
  void CheckTermOf(const MemberId& member, const MemberStatus& status);
  void AskPrimary(const DatabaseTerm& entry);
  void OnPrimaryAnswer(std::chrono::steady_clock::time_point asked_at,
                       const MemberId& primary, const AdminAnswer& answer);
  void TakePrimaryPosition(std::chrono::steady_clock::time_point asked_at,
                           const DatabaseTerm& entry,
                           const AdminAnswer& answer);
  void CoverEndedRunsWith(const PrimarySample& covering,
                          const DatabaseTerm& entry);
  void ReplaceIfNeeded(std::chrono::steady_clock::time_point now,
                       const DatabaseTerm& entry);
  bool HasSuccessor(const DatabaseTerm& entry) const;
  void ProposeNextTerm(std::chrono::steady_clock::time_point now,
                       const DatabaseTerm& entry, const char* reason);
  void AddNewMembers(std::chrono::steady_clock::time_point now,
                     const DatabaseTerm& entry);
  void RecordPhase(const DatabaseTerm& entry);
  void StartProcedure(std::chrono::steady_clock::time_point now,
                      const DatabaseTerm& entry);
  void Propose(std::chrono::steady_clock::time_point now,
               const DatabaseCommand& command);

  const SwitchoverContext& context;
  DatabaseId database;
  PrimaryFailureDetector failure_detector;
  std::shared_ptr<RunEvidence> evidence = std::make_shared<RunEvidence>();
  std::shared_ptr<PromotionCalls> calls;
  /** The members and terms that were recorded as not chosen. */
  std::set<std::pair<MemberId, std::uint64_t>> unchosen;
  std::shared_ptr<EndedRunWatch> ended_run_watch;
  std::shared_ptr<SwitchoverProcedure> procedure;
  std::uint64_t procedure_term = 0;
  std::uint64_t watched_term = 0;
  std::optional<PrimarySample> sample;
  /** The incarnation of the primary when monitoring began in this term. A later
   * incarnation under the same identity may have lost its log. */
  std::uint64_t watched_incarnation = 0;
  /** The members' answers while the group is not adopted. */
  std::map<MemberId, AdminAnswer> answers;
  std::set<MemberId> awaiting_answer;
  bool primary_request_in_flight = false;
  /** The term and phase of the last event that was recorded. */
  std::optional<std::pair<std::uint64_t, TermPhase>> last_recorded;
  /** Why the last term was begun, if this leader proposed it. */
  std::string term_reason;
  std::chrono::steady_clock::time_point created_at;
  std::chrono::steady_clock::time_point next_poll;
  std::chrono::steady_clock::time_point next_replica_poll;
  std::chrono::steady_clock::time_point next_proposal;
  std::chrono::steady_clock::time_point next_cover;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_GROUP_MANAGER_H_
