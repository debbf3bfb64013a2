#include "lacewingferry/decisions/switchover/member_answers.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {

using std::chrono::steady_clock;

MemberAnswers::MemberAnswers(const SwitchoverContext& shared,
                             std::shared_ptr<const RunEvidence> run_evidence)
    : context(shared), evidence(std::move(run_evidence)) {}

void MemberAnswers::Take(const MemberId& member,
                         steady_clock::time_point asked_at,
                         const AdminAnswer& answer) {
  const MemberAnnouncement* known = this->context.roster.Find(member);
  if (known == nullptr) return;
  this->answers[member] =
      Answer{answer.status, known->incarnation, asked_at, answer.opened_at};
}

const MemberAnswers::Answer* MemberAnswers::FinalAnswer(
    const MemberAnnouncement& member, const DatabaseTerm& entry) const {
  const auto found = this->answers.find(member.info.id);
  if (found == this->answers.end()) return nullptr;
  const Answer& answer = found->second;
  if (answer.incarnation != member.incarnation) return nullptr;
  const bool paused = answer.status.paused_term != 0;
  const bool after_leases =
      this->leases_ended_at && answer.asked_at >= *this->leases_ended_at;
  const bool leads_or_led =
      answer.status.primary || member.info.id == entry.LastLeader();
  return paused || (after_leases && leads_or_led) ? &answer : nullptr;
}

const MemberStatus* MemberAnswers::Final(const MemberAnnouncement& member,
                                         const DatabaseTerm& entry) const {
  const Answer* answer = this->FinalAnswer(member, entry);
  return answer == nullptr ? nullptr : &answer->status;
}

bool MemberAnswers::HasFinalSince(const MemberAnnouncement& member,
                                  const DatabaseTerm& entry,
                                  steady_clock::time_point asked_since) const {
  const Answer* answer = this->FinalAnswer(member, entry);
  return answer != nullptr && answer->asked_at >= asked_since;
}

const MemberStatus* MemberAnswers::Last(const MemberId& member) const {
  const auto found = this->answers.find(member);
  return found == this->answers.end() ? nullptr : &found->second.status;
}

bool MemberAnswers::HasOtherThan(const MemberId& member) const {
  return this->answers.size() > this->answers.count(member);
}

SuccessorAnswer MemberAnswers::Describe(const MemberAnnouncement& member,
                                        const Answer& answer) const {
  SuccessorAnswer result;
  result.run = {member.info.id, member.incarnation};
  result.zone = member.info.zone;
  result.received = answer.status.received;
  result.leaving = member.info.leaving;
  result.primary = answer.status.primary;
  result.term = answer.status.term;
  result.led = this->evidence->LedOn(member.info.id, answer.opened_at);
  result.proof = this->evidence->ProofOf(result.run, answer.opened_at);
  return result;
}

/** Adds the runs that ended. Those that this process knows to be covered raise
 * the floor, though the control log may not say so yet. */
void MemberAnswers::AddEndedRuns(const DatabaseTerm& entry,
                                 SuccessorChoiceInput* input) const {
  const EndedRunsOfDatabase& ended =
      this->context.ended_runs.Of(entry.database);
  input->floor = std::max(entry.start, ended.floor);
  for (const EndedRun& item : ended.runs) {
    const auto cover = this->evidence->CoverOf(item.run);
    if (cover) {
      input->floor = std::max(input->floor, *cover);
    } else {
      input->ended.push_back(item.run);
    }
  }
}

/** Adds what the proxies reported to have acknowledged. */
void MemberAnswers::AddReports(const DatabaseTerm& entry,
                               SuccessorChoiceInput* input) const {
  input->acknowledged = this->evidence->Reported();
  const auto& sample = this->evidence->LastSample();
  const DatabaseStamp current{entry.database, entry.term,
                              entry.members_revision};
  if (sample &&
      this->context.hooks.all_reported_since(sample->asked_at, current)) {
    input->reported = std::max(sample->position, input->acknowledged);
  }
}

SuccessorChoiceInput MemberAnswers::ChoiceInput(
    const DatabaseTerm& entry) const {
  SuccessorChoiceInput input;
  input.leader = entry.LastLeader();
  input.leading_term = entry.leading_term;
  for (const MemberId& id : this->context.roster.MembersOf(entry.database)) {
    const MemberAnnouncement& member = *this->context.roster.Find(id);
    if (id == input.leader) input.leader_zone = member.info.zone;
    const Answer* answer = this->FinalAnswer(member, entry);
    if (answer != nullptr) {
      input.answers.push_back(this->Describe(member, *answer));
    } else if (id != input.leader) {
      input.missing.insert(id);
    }
  }
  this->AddEndedRuns(entry, &input);
  this->AddReports(entry, &input);
  return input;
}

}  // namespace lacewingferry
