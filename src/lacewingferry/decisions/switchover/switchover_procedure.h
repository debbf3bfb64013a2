#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_SWITCHOVER_PROCEDURE_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_SWITCHOVER_PROCEDURE_H_

// Defines SwitchoverProcedure, which replaces a group's primary in one term.

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/decisions/switchover/member_answers.h"
#include "lacewingferry/decisions/switchover/promotion_calls.h"
#include "lacewingferry/decisions/switchover/run_evidence.h"
#include "lacewingferry/decisions/switchover/successor_choice.h"
#include "lacewingferry/decisions/switchover/switchover_context.h"

namespace lacewingferry {

/**
 * Takes a group from the beginning of a term to a primary that leads it:
 *
 *   electing    recalls the leases on earlier terms, so that proxies
 *               acknowledge nothing more. Then asks the last leader for the
 *               end of its log, pauses the replicas, and proposes a member that
 *               is proved to hold every acknowledged commit (ChooseSuccessor).
 *               A member that leads and stays is kept. If the leader announced
 *               that it leaves, a replica may catch up first; otherwise the
 *               replicas are paused at the start
 *   promoting   requests the promotion of the chosen member and polls it until
 *               it is primary, then proposes to confirm it
 *
 * The new term is in the control log before any replica is paused or promoted,
 * so no lease on an earlier term is granted while a promotion may be in
 * progress. The procedure keeps no state that must survive: a new control
 * leader starts it again, and every step is idempotent. What a proof needs from
 * before the term is in the control log or in the leader's RunEvidence; a new
 * leader has none of the latter, and what was proved by it isn't any more.
 *
 * The members number their terms independently of control; a log position
 * carries the members' term.
 */
class SwitchoverProcedure
    : public std::enable_shared_from_this<SwitchoverProcedure> {
 public:
  SwitchoverProcedure(const SwitchoverContext& shared,
                      const DatabaseTerm& entry,
                      std::shared_ptr<const RunEvidence> run_evidence,
                      std::shared_ptr<PromotionCalls> promotion_calls,
                      std::chrono::steady_clock::time_point now);

  /** Takes the entry's next phase within the same term. */
  void OnPhase(std::chrono::steady_clock::time_point now,
               const DatabaseTerm& next);

  const MemberId& Chosen() const { return this->entry.primary; }

  /** A position that covers every acknowledged commit, known while a member is
   * being promoted: no lease is in force until it is primary. */
  std::optional<LogPosition> CoveringPosition() const {
    if (this->entry.phase != TermPhase::kPromoting) return std::nullopt;
    return this->entry.start;
  }

  /** Runs what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  std::chrono::steady_clock::time_point NextWakeup() const {
    return this->next_round;
  }

 private:
  using AnswerHandler =
      std::function<void(std::chrono::steady_clock::time_point, const MemberId&,
                         const AdminAnswer&)>;

  void Elect(std::chrono::steady_clock::time_point now);
  bool LeaderLeaves() const;
  void RecallLeases(std::chrono::steady_clock::time_point now);
  void AskLeader(std::chrono::steady_clock::time_point now);
  /** Whether to go on waiting for a replica to catch up; polls them if so. */
  bool WaitForCatchUp(std::chrono::steady_clock::time_point now);
  void PollReplicas();
  void PauseReplicas();
  SuccessorChoiceInput ChoiceInput(
      std::chrono::steady_clock::time_point now) const;
  /** Whether a member that leads and stays is proposed as the primary. */
  bool KeepPrimary(std::chrono::steady_clock::time_point now);
  void TryChoose(std::chrono::steady_clock::time_point now);
  void ProposePrimary(std::chrono::steady_clock::time_point now,
                      const SuccessorAnswer& chosen);
  void StepDownLeader(std::uint64_t successor_term);
  /** Whether the chosen member's run is still the one that was chosen. */
  bool ChosenRunsOn() const;
  void Promote(std::chrono::steady_clock::time_point now);
  void OnPromotionResult(std::chrono::steady_clock::time_point now,
                         PromotionResult result);
  void CheckChosen(const MemberId& member, const LogPosition& start);
  void OnChosenStatus(std::chrono::steady_clock::time_point now,
                      const MemberId& member, const LogPosition& start,
                      const AdminAnswer& answer);
  void ProposeNextTerm(std::chrono::steady_clock::time_point now,
                       const char* reason);
  void Propose(std::chrono::steady_clock::time_point now,
               const DatabaseCommand& command);
  /** Sends a request to a member unless one is already in flight to it. */
  void Ask(const MemberId& member, const MemberRequest& request,
           AnswerHandler on_answer);
  std::vector<MemberId> Replicas() const;
  std::uint64_t PauseTerm() const { return this->newest_member_term + 1; }
  DatabaseStamp Stamp() const;
  void RecordDecision(std::chrono::steady_clock::time_point now,
                      const SuccessorChoiceInput& input,
                      const std::optional<SuccessorAnswer>& chosen);

  const SwitchoverContext& context;
  DatabaseTerm entry;
  std::shared_ptr<const RunEvidence> evidence;
  std::shared_ptr<PromotionCalls> calls;
  MemberAnswers answers;
  std::set<MemberId> awaiting_answer;
  /** The highest term that any member of the group has reported. */
  std::uint64_t newest_member_term = 0;
  /** The positions of replicas that aren't paused yet. */
  std::map<MemberId, LogPosition> received;
  std::optional<std::chrono::steady_clock::time_point> leader_asked_at;
  /** Whether the last leader answered or is known not to. */
  bool leader_resolved = false;
  std::optional<std::chrono::steady_clock::time_point> leases_expired_at;
  std::chrono::steady_clock::time_point started_at;
  /** What the decisions that were recorded were made of. */
  std::set<std::string> recorded_decisions;
  std::chrono::steady_clock::time_point next_round;
  std::chrono::steady_clock::time_point next_recall;
  std::chrono::steady_clock::time_point next_proposal;
  std::chrono::steady_clock::time_point next_promotion;
  std::chrono::steady_clock::time_point promotion_deadline;
  /** The member that was chosen and answered since that it has its log. */
  MemberId checked_member;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_SWITCHOVER_PROCEDURE_H_
