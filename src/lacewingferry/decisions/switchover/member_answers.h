#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_MEMBER_ANSWERS_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_MEMBER_ANSWERS_H_

// Defines MemberAnswers, what a group's members answered in a switchover, from
// which a successor is chosen.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/decisions/switchover/run_evidence.h"
#include "lacewingferry/decisions/switchover/successor_choice.h"
#include "lacewingferry/decisions/switchover/switchover_context.h"

namespace lacewingferry {

/**
 * The last answer of each member that was paused, or that leads or led.
 *
 * An answer is final if the member can have acknowledged nothing since: it
 * confirmed a pause, or it is the answer of a member that leads or led to a
 * question that was sent after the leases had ended. It counts as long as the
 * member's run on the list of members is the one that it came from.
 */
class MemberAnswers {
 public:
  MemberAnswers(const SwitchoverContext& shared,
                std::shared_ptr<const RunEvidence> run_evidence);

  /** Takes an answer to a question that was sent at a time. */
  void Take(const MemberId& member,
            std::chrono::steady_clock::time_point asked_at,
            const AdminAnswer& answer);

  /** Notes that no lease on an earlier term is in force from a time on. */
  void OnLeasesEnded(std::chrono::steady_clock::time_point now) {
    this->leases_ended_at = now;
  }

  /** A member's final answer; nullptr if there is none. */
  const MemberStatus* Final(const MemberAnnouncement& member,
                            const DatabaseTerm& entry) const;

  /** Whether a member's final answer is to a question of a time or later. */
  bool HasFinalSince(const MemberAnnouncement& member,
                     const DatabaseTerm& entry,
                     std::chrono::steady_clock::time_point asked_since) const;

  /** A member's last answer, final or not; nullptr if there is none. */
  const MemberStatus* Last(const MemberId& member) const;

  /** Whether another member than this has answered. */
  bool HasOtherThan(const MemberId& member) const;

  /** What a successor for the term is chosen by. */
  SuccessorChoiceInput ChoiceInput(const DatabaseTerm& entry) const;

 private:
  struct Answer {
    MemberStatus status;
    /** The member's run on the list of members at that time. */
    std::uint64_t incarnation = 0;
    std::chrono::steady_clock::time_point asked_at;
    std::chrono::steady_clock::time_point opened_at;
  };

  const Answer* FinalAnswer(const MemberAnnouncement& member,
                            const DatabaseTerm& entry) const;
  SuccessorAnswer Describe(const MemberAnnouncement& member,
                           const Answer& answer) const;
  void AddEndedRuns(const DatabaseTerm& entry,
                    SuccessorChoiceInput* input) const;
  void AddReports(const DatabaseTerm& entry, SuccessorChoiceInput* input) const;

  const SwitchoverContext& context;
  std::shared_ptr<const RunEvidence> evidence;
  std::map<MemberId, Answer> answers;
  std::optional<std::chrono::steady_clock::time_point> leases_ended_at;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_MEMBER_ANSWERS_H_
