#include "lacewingferry/decisions/switchover/switchover_procedure.h"

#include <algorithm>
#include <string>
#include <utility>

#include "lacewingferry/decisions/switchover/successor_record.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

}  // namespace

SwitchoverProcedure::SwitchoverProcedure(
    const SwitchoverContext& shared, const DatabaseTerm& database_entry,
    std::shared_ptr<const RunEvidence> run_evidence,
    std::shared_ptr<PromotionCalls> promotion_calls,
    steady_clock::time_point now)
    : context(shared),
      entry(database_entry),
      evidence(std::move(run_evidence)),
      calls(std::move(promotion_calls)),
      answers(shared, this->evidence),
      newest_member_term(database_entry.start.term),
      started_at(now),
      next_round(now),
      promotion_deadline(now + shared.settings.promotion_timeout) {}

DatabaseStamp SwitchoverProcedure::Stamp() const {
  return DatabaseStamp{this->entry.database, this->entry.term,
                       this->entry.members_revision};
}

std::vector<MemberId> SwitchoverProcedure::Replicas() const {
  std::vector<MemberId> replicas =
      this->context.roster.MembersOf(this->entry.database);
  replicas.erase(
      std::remove(replicas.begin(), replicas.end(), this->entry.LastLeader()),
      replicas.end());
  return replicas;
}

void SwitchoverProcedure::Ask(const MemberId& member,
                              const MemberRequest& request,
                              AnswerHandler on_answer) {
  const MemberAnnouncement* announced = this->context.roster.Find(member);
  if (announced == nullptr || !this->awaiting_answer.insert(member).second)
    return;
  const std::weak_ptr<SwitchoverProcedure> weak = this->weak_from_this();
  this->context.hooks.admin.ask(
      TargetOf(*announced), request,
      this->context.settings.switchover_answer_timeout,
      [weak, member,
       on_answer = std::move(on_answer)](const AdminAnswer& reply) {
        const auto self = weak.lock();
        if (!self) return;
        self->awaiting_answer.erase(member);
        if (reply.response == MemberResponse::kAnswered) {
          self->newest_member_term =
              std::max({self->newest_member_term, reply.status.term,
                        reply.status.received.term});
        }
        on_answer(self->context.hooks.now(), member, reply);
      });
}

void SwitchoverProcedure::OnTick(steady_clock::time_point now) {
  if (now < this->next_round) return;
  this->next_round = now + this->context.settings.round_interval;
  if (this->entry.phase == TermPhase::kElecting) {
    this->Elect(now);
  } else if (this->entry.phase == TermPhase::kPromoting) {
    this->Promote(now);
    this->CheckChosen(this->entry.primary, this->entry.start);
  }
}

void SwitchoverProcedure::Elect(steady_clock::time_point now) {
  // If the leader is lost, waiting for the leases to end before pausing the
  // replicas gains nothing.
  if (!this->LeaderLeaves()) this->PauseReplicas();
  if (!this->leases_expired_at) {
    this->RecallLeases(now);
    if (this->context.hooks.leases_expire_at(this->Stamp()) > now) return;
    this->leases_expired_at = now;
    this->answers.OnLeasesEnded(now);
  }
  this->TryChoose(now);
  this->AskLeader(now);
  if (!this->leader_resolved || this->KeepPrimary(now)) return;
  if (this->WaitForCatchUp(now)) return;
  this->PauseReplicas();
  this->TryChoose(now);
}

/** Whether the last leader announced that it leaves, so that it runs until it
 * is replaced. */
bool SwitchoverProcedure::LeaderLeaves() const {
  const MemberAnnouncement* leader =
      this->context.roster.Find(this->entry.LastLeader());
  return leader != nullptr && leader->info.leaving;
}

void SwitchoverProcedure::RecallLeases(steady_clock::time_point now) {
  if (now < this->next_recall) return;
  this->next_recall = now + this->context.settings.recall_interval;
  this->context.hooks.recall(this->Stamp(),
                             this->LeaderLeaves()
                                 ? this->context.settings.planned_drain_timeout
                                 : this->context.settings.lost_drain_timeout);
}

/** Asks the last leader for its position until it answers that it leads or is
 * known not to. Continues while no successor is found, since it may come back
 * with its log. */
void SwitchoverProcedure::AskLeader(steady_clock::time_point now) {
  const MemberId& leader = this->entry.LastLeader();
  const MemberAnnouncement* known = this->context.roster.Find(leader);
  if (known == nullptr) {
    this->leader_resolved = true;
    return;
  }
  const MemberStatus* last = this->answers.Final(*known, this->entry);
  if (last != nullptr && last->primary) return;
  if (this->leader_asked_at &&
      now - *this->leader_asked_at < this->context.settings.poll_interval) {
    return;
  }
  this->leader_asked_at = now;
  this->Ask(leader, AdminRequest(MemberRequestKind::kStatus),
            [this, now](steady_clock::time_point, const MemberId& id,
                        const AdminAnswer& answer) {
              const bool alive = answer.response == MemberResponse::kBusy ||
                                 answer.response == MemberResponse::kSlow;
              if (alive) return;
              this->leader_resolved = true;
              if (answer.response != MemberResponse::kAnswered) return;
              this->answers.Take(id, now, answer);
            });
}

bool SwitchoverProcedure::WaitForCatchUp(steady_clock::time_point now) {
  const MemberId& leader = this->entry.LastLeader();
  const MemberStatus* status = this->answers.Last(leader);
  const bool leads = status != nullptr && status->primary;
  if (!leads || !this->LeaderLeaves() || this->answers.HasOtherThan(leader))
    return false;
  if (now - *this->leases_expired_at > this->context.settings.catch_up_timeout)
    return false;
  for (const auto& item : this->received) {
    const MemberAnnouncement* replica = this->context.roster.Find(item.first);
    const bool stays = replica != nullptr && !replica->info.leaving;
    if (stays && item.second >= status->received) return false;
  }
  this->PollReplicas();
  return true;
}

void SwitchoverProcedure::PollReplicas() {
  for (const MemberId& replica : this->Replicas()) {
    this->Ask(replica, AdminRequest(MemberRequestKind::kStatus),
              [this](steady_clock::time_point, const MemberId& id,
                     const AdminAnswer& answer) {
                if (answer.response != MemberResponse::kAnswered) return;
                this->received[id] = answer.status.received;
              });
  }
}

/** Pauses the replicas that haven't confirmed it, and asks the others again
 * now and then. A replica on the list of members may turn out to lead: a former
 * leader that came back under another ID, or a member that a call of an earlier
 * term or leader has promoted since. */
void SwitchoverProcedure::PauseReplicas() {
  const steady_clock::time_point now = this->context.hooks.now();
  for (const MemberId& replica : this->Replicas()) {
    const MemberAnnouncement& known = *this->context.roster.Find(replica);
    const auto since = now - this->context.settings.repeated_pause_interval;
    if (this->answers.HasFinalSince(known, this->entry, since)) continue;
    this->Ask(replica,
              AdminRequest(MemberRequestKind::kPause, this->PauseTerm()),
              [this, now](steady_clock::time_point answered_at,
                          const MemberId& id, const AdminAnswer& answer) {
                if (answer.response != MemberResponse::kAnswered) return;
                this->answers.Take(id, now, answer);
                this->TryChoose(answered_at);
              });
  }
}

SuccessorChoiceInput SwitchoverProcedure::ChoiceInput(
    steady_clock::time_point now) const {
  SuccessorChoiceInput input = this->answers.ChoiceInput(this->entry);
  input.only_candidate = this->calls->OnlyCandidate(now, this->entry);
  return input;
}

bool SwitchoverProcedure::KeepPrimary(steady_clock::time_point now) {
  const SuccessorChoiceInput input = this->ChoiceInput(now);
  const SuccessorAnswer* primary = FindPrimary(input);
  if (primary == nullptr || primary->leaving) return false;
  if (!input.MayLead(primary->run.member)) return false;
  this->RecordDecision(now, input, *primary);
  this->ProposePrimary(now, *primary);
  return true;
}

void SwitchoverProcedure::TryChoose(steady_clock::time_point now) {
  if (this->entry.phase != TermPhase::kElecting || !this->leases_expired_at)
    return;
  const SuccessorChoiceInput input = this->ChoiceInput(now);
  const auto chosen = ChooseSuccessor(input);
  this->RecordDecision(now, input, chosen);
  if (chosen) this->ProposePrimary(now, *chosen);
}

void SwitchoverProcedure::ProposePrimary(steady_clock::time_point now,
                                         const SuccessorAnswer& chosen) {
  this->Propose(
      now, DatabaseCommand{ChoosePrimary{this->entry.database, this->entry.term,
                                         chosen.run.member, chosen.received,
                                         chosen.run.incarnation, true}});
  // While the log takes the command, so that the promotion needn't wait.
  this->CheckChosen(chosen.run.member, chosen.received);
}

/** Asks whether a member still has the log that it is chosen for. It may have
 * restarted since it was asked. */
void SwitchoverProcedure::CheckChosen(const MemberId& member,
                                      const LogPosition& start) {
  this->Ask(member, AdminRequest(MemberRequestKind::kStatus),
            [this, start](steady_clock::time_point answered_at,
                          const MemberId& id, const AdminAnswer& answer) {
              this->OnChosenStatus(answered_at, id, start, answer);
            });
}

/** Tells the last leader to step down once its successor leads. It would notice
 * that by itself, but later. Before that its lead may be the only proof that
 * its log has every commit, if the chosen member is lost. The term is that of
 * the successor, so that a request which arrives late ends no later lead. */
void SwitchoverProcedure::StepDownLeader(std::uint64_t successor_term) {
  const MemberId& leader = this->entry.LastLeader();
  if (leader == this->entry.primary) return;
  this->Ask(
      leader, AdminRequest(MemberRequestKind::kStepDown, successor_term),
      [](steady_clock::time_point, const MemberId&, const AdminAnswer&) {});
}

bool SwitchoverProcedure::ChosenRunsOn() const {
  const MemberAnnouncement* chosen =
      this->context.roster.Find(this->entry.primary);
  const std::uint64_t run = this->entry.primary_incarnation;
  return chosen != nullptr && (run == 0 || chosen->incarnation == run);
}

void SwitchoverProcedure::OnPhase(steady_clock::time_point now,
                                  const DatabaseTerm& next) {
  this->entry = next;
  this->next_round = now;
  this->next_proposal = now;
  this->promotion_deadline = now + this->context.settings.promotion_timeout;
  this->OnTick(now);
}

void SwitchoverProcedure::Promote(steady_clock::time_point now) {
  if (now >= this->promotion_deadline) {
    this->ProposeNextTerm(now, "the promotion took too long");
    return;
  }
  if (!this->ChosenRunsOn()) {
    this->ProposeNextTerm(now, "the chosen member began anew");
    return;
  }
  const bool checked = this->checked_member == this->entry.primary;
  if (!checked || now < this->next_promotion || !this->calls->MayCall(now))
    return;
  const std::weak_ptr<SwitchoverProcedure> weak = this->weak_from_this();
  const auto allowed = [weak] {
    const auto self = weak.lock();
    return self != nullptr && self->context.hooks.leads() &&
           self->ChosenRunsOn();
  };
  this->calls->Call(this->entry, this->newest_member_term, allowed,
                    [weak](PromotionResult result) {
                      if (const auto self = weak.lock()) {
                        self->OnPromotionResult(self->context.hooks.now(),
                                                result);
                      }
                    });
}

void SwitchoverProcedure::OnPromotionResult(steady_clock::time_point now,
                                            PromotionResult result) {
  this->next_promotion = now + this->context.settings.promotion_retry_interval;
  if (this->entry.phase != TermPhase::kPromoting) return;
  if (result == PromotionResult::kMemberDown) {
    this->ProposeNextTerm(now, "the chosen member isn't running");
  } else if (result == PromotionResult::kAccepted) {
    this->next_promotion = this->promotion_deadline;
  }
}

void SwitchoverProcedure::OnChosenStatus(steady_clock::time_point now,
                                         const MemberId& member,
                                         const LogPosition& start,
                                         const AdminAnswer& answer) {
  const bool promoting = this->entry.phase == TermPhase::kPromoting &&
                         this->entry.primary == member;
  const bool alive = answer.response == MemberResponse::kBusy ||
                     answer.response == MemberResponse::kSlow;
  if (alive) return;
  if (answer.response != MemberResponse::kAnswered) {
    if (promoting && this->checked_member != member) {
      this->ProposeNextTerm(now, "the chosen member doesn't answer");
    }
    return;
  }
  // The offsets of a log go on through its terms; a log that began anew has
  // lower ones.
  if (answer.status.received.offset < start.offset) {
    if (promoting) this->ProposeNextTerm(now, "the chosen member lost its log");
    return;
  }
  this->checked_member = member;
  if (!promoting) return;
  if (answer.status.primary) {
    this->calls->OnLeads(member, answer.status.term);
    this->StepDownLeader(answer.status.term);
    this->Propose(
        now, DatabaseCommand{ConfirmPrimary{
                 this->entry.database, this->entry.term, answer.status.term}});
  } else {
    this->Promote(now);
  }
}

void SwitchoverProcedure::ProposeNextTerm(steady_clock::time_point now,
                                          const char* reason) {
  this->Propose(
      now, DatabaseCommand{BeginTerm{this->entry.database, this->entry.term,
                                     this->entry.term + 1, reason}});
}

void SwitchoverProcedure::Propose(steady_clock::time_point now,
                                  const DatabaseCommand& command) {
  if (now < this->next_proposal) return;
  this->next_proposal = now + this->context.settings.proposal_retry_interval;
  this->context.hooks.propose(command);
}

/** Records a decision unless one that was made of the same was recorded. */
void SwitchoverProcedure::RecordDecision(
    steady_clock::time_point now, const SuccessorChoiceInput& input,
    const std::optional<SuccessorAnswer>& chosen) {
  const bool told =
      !this->recorded_decisions.insert(DescribeDecision(input, chosen)).second;
  if (told) return;
  this->context.hooks.events.record(MakeSuccessorRecord(
      {this->entry, input, chosen, this->evidence->Reports(),
       std::chrono::duration_cast<std::chrono::milliseconds>(
           now - this->started_at)}));
}

}  // namespace lacewingferry
