#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSION_RUN_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSION_RUN_H_

// Defines SuccessionRun, the replacement of a group's primary in one term.

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/decisions/switchover/successor_choice.h"
#include "lacewingferry/decisions/switchover/switchover_context.h"

namespace lacewingferry {

/**
 * Takes a group from the beginning of a term to a primary that leads it:
 *
 *   electing    recalls the leases on earlier terms, so that nothing more is
 *               acknowledged. Then asks the former primary where its log ends;
 *               if it answers, the replicas get time to reach that position.
 *               Then pauses the replicas, and proposes one of which it is
 *               proved that it has all that was acknowledged
 *   promoting   has the chosen member promoted and asks it until it leads,
 *               then proposes to confirm it
 *
 * The term stands in the control log before anything is paused or promoted, so
 * no lease is granted on the term before while a promotion may be under way.
 * The run keeps nothing that has to survive: a new leader of control starts it
 * anew, and each step has the same effect when it is repeated.
 *
 * The members count terms of their own; a log position carries theirs.
 */
class SuccessionRun : public std::enable_shared_from_this<SuccessionRun> {
 public:
  SuccessionRun(const SwitchoverContext& shared, const DatabaseTerm& entry,
                std::chrono::steady_clock::time_point now);

  /** Takes the entry's next phase within the same term. */
  void OnPhase(std::chrono::steady_clock::time_point now,
               const DatabaseTerm& next);

  const MemberId& Chosen() const { return this->entry.primary; }

  /** The position that covers all that was ever acknowledged, while a member
   * is being promoted: no lease is in force until it leads. */
  std::optional<LogPosition> Covering() const {
    if (this->entry.phase != TermPhase::kPromoting) return std::nullopt;
    return this->entry.start;
  }

  /** Notes what a proxy had acknowledged when it gave up its lease. */
  void OnAcknowledged(const LogPosition& position);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  std::chrono::steady_clock::time_point NextWakeup() const {
    return this->next_round;
  }

 private:
  using Answered = std::function<void(std::chrono::steady_clock::time_point,
                                      const MemberId&, const AdminAnswer&)>;

  void Elect(std::chrono::steady_clock::time_point now);
  bool Planned() const;
  void Recall(std::chrono::steady_clock::time_point now);
  void AskFormer(std::chrono::steady_clock::time_point now);
  bool ReplicasMayCatchUp(std::chrono::steady_clock::time_point now);
  void WatchReplicas();
  void PauseReplicas();
  bool FormerStays() const;
  void TryChoose(std::chrono::steady_clock::time_point now);
  void Choose(std::chrono::steady_clock::time_point now, const MemberId& member,
              const LogPosition& position);
  void StopFormer();
  void Promote(std::chrono::steady_clock::time_point now);
  void OnPromotion(std::chrono::steady_clock::time_point now,
                   PromotionResult result);
  void AskChosen();
  void OnChosen(std::chrono::steady_clock::time_point now,
                const AdminAnswer& answer);
  void Supersede(std::chrono::steady_clock::time_point now, const char* reason);
  void Propose(std::chrono::steady_clock::time_point now,
               const DatabaseCommand& command);
  /** Asks a member unless a request to it is under way. */
  void Ask(const MemberId& member, const MemberRequest& request,
           Answered answered);
  std::vector<MemberId> Replicas() const;
  SuccessionEvidence Evidence() const;
  std::uint64_t PauseTerm() const { return this->newest_member_term + 1; }
  DatabaseStamp Stamp() const;
  void Record(EventCode code, EventLevel level, const char* what,
              const MemberId& member) const;

  const SwitchoverContext& context;
  DatabaseTerm entry;
  std::set<MemberId> asking;
  /** The newest term that any member of the group named. */
  std::uint64_t newest_member_term = 0;
  std::optional<LogPosition> former_position;
  std::optional<std::chrono::steady_clock::time_point> former_asked;
  bool former_answered = false;
  bool former_leads = false;
  std::map<MemberId, LogPosition> received;
  std::map<MemberId, LogPosition> paused;
  LogPosition acknowledged;
  std::optional<std::chrono::steady_clock::time_point> freed;
  std::chrono::steady_clock::time_point next_round;
  std::chrono::steady_clock::time_point next_recall;
  std::chrono::steady_clock::time_point next_proposal;
  std::chrono::steady_clock::time_point next_promotion;
  std::chrono::steady_clock::time_point promotion_limit;
  bool calling = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_SUCCESSION_RUN_H_
