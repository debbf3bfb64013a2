#include "lacewingferry/decisions/switchover/switchover_procedure.h"

#include <algorithm>
#include <string>
#include <utility>

#include "lacewingferry/decisions/switchover/successor_record.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

}  // namespace

SwitchoverProcedure::SwitchoverProcedure(const SwitchoverContext& shared,
                                         const DatabaseTerm& database_entry,
                                         steady_clock::time_point now)
    : context(shared),
      entry(database_entry),
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
      std::remove(replicas.begin(), replicas.end(), this->entry.former_primary),
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
    this->PollChosen();
  }
}

void SwitchoverProcedure::Elect(steady_clock::time_point now) {
  // If the former primary is lost, waiting for the leases to end before pausing
  // the replicas gains nothing.
  if (!this->FormerPrimaryLeaves()) this->PauseReplicas();
  if (!this->leases_expired_at) {
    this->RecallLeases(now);
    if (this->context.hooks.leases_expire_at(this->Stamp()) > now) return;
    this->leases_expired_at = now;
  }
  this->TryChoose(now);
  this->AskFormerPrimary(now);
  if (!this->former_resolved) return;
  if (this->FormerPrimaryStays()) {
    this->ProposePrimary(now, this->entry.former_primary,
                         *this->former_position);
    return;
  }
  if (this->WaitForCatchUp(now)) return;
  this->PauseReplicas();
  this->TryChoose(now);
}

/** Whether the former primary announced that it leaves, so that it runs until
 * it is replaced. */
bool SwitchoverProcedure::FormerPrimaryLeaves() const {
  const MemberAnnouncement* former =
      this->context.roster.Find(this->entry.former_primary);
  return former != nullptr && former->info.leaving;
}

void SwitchoverProcedure::RecallLeases(steady_clock::time_point now) {
  if (now < this->next_recall) return;
  this->next_recall = now + this->context.settings.recall_interval;
  this->context.hooks.recall(this->Stamp(),
                             this->FormerPrimaryLeaves()
                                 ? this->context.settings.planned_drain_timeout
                                 : this->context.settings.lost_drain_timeout);
}

/** Asks the former primary for its position until it answers or is known not
 * to. Continues while no successor is found, since the former primary may come
 * back with its log. */
void SwitchoverProcedure::AskFormerPrimary(steady_clock::time_point now) {
  if (this->former_position) return;
  if (this->context.roster.Find(this->entry.former_primary) == nullptr) {
    this->former_resolved = true;
    return;
  }
  if (this->former_asked_at &&
      now - *this->former_asked_at < this->context.settings.poll_interval) {
    return;
  }
  this->former_asked_at = now;
  this->Ask(this->entry.former_primary,
            AdminRequest(MemberRequestKind::kStatus),
            [this](steady_clock::time_point, const MemberId&,
                   const AdminAnswer& answer) {
              const bool alive = answer.response == MemberResponse::kBusy ||
                                 answer.response == MemberResponse::kSlow;
              if (alive) return;
              this->former_resolved = true;
              if (answer.response != MemberResponse::kAnswered) return;
              this->former_position = answer.status.received;
              this->former_is_primary = answer.status.primary;
            });
}

bool SwitchoverProcedure::WaitForCatchUp(steady_clock::time_point now) {
  if (!this->former_position || !this->paused.empty()) return false;
  if (now - *this->leases_expired_at > this->context.settings.catch_up_timeout)
    return false;
  for (const auto& item : this->received) {
    const MemberAnnouncement* replica = this->context.roster.Find(item.first);
    const bool stays = replica != nullptr && !replica->info.leaving;
    if (stays && item.second >= *this->former_position) return false;
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

void SwitchoverProcedure::PauseReplicas() {
  for (const MemberId& replica : this->Replicas()) {
    if (this->paused.count(replica) > 0) continue;
    this->Ask(replica,
              AdminRequest(MemberRequestKind::kPause, this->PauseTerm()),
              [this](steady_clock::time_point answered_at, const MemberId& id,
                     const AdminAnswer& answer) {
                if (answer.response != MemberResponse::kAnswered) return;
                if (answer.status.paused_term == 0) return;
                this->paused[id] = answer.status.received;
                this->TryChoose(answered_at);
              });
  }
}

SuccessorChoiceInput SwitchoverProcedure::ChoiceInput() const {
  SuccessorChoiceInput input;
  for (const MemberId& id : this->Replicas()) {
    const auto found = this->paused.find(id);
    if (found == this->paused.end()) {
      input.missing.insert(id);
      continue;
    }
    const MemberInfo& info = this->context.roster.Find(id)->info;
    input.paused.push_back({id, info.zone, found->second, info.leaving});
  }
  input.former_position = this->former_position;
  input.acknowledged = this->acknowledged;
  input.acknowledged_wait_over =
      this->leases_expired_at &&
      this->context.hooks.now() - *this->leases_expired_at >=
          this->context.settings.acknowledged_wait;
  const MemberAnnouncement* former =
      this->context.roster.Find(this->entry.former_primary);
  if (former == nullptr) return input;
  input.former_zone = former->info.zone;
  if (this->former_position && !this->former_is_primary) {
    input.paused.push_back({former->info.id, former->info.zone,
                            *this->former_position, former->info.leaving});
  }
  return input;
}

/** Whether the former primary was taken for lost but is still primary and holds
 * every acknowledged commit, so that it need not be replaced. */
bool SwitchoverProcedure::FormerPrimaryStays() const {
  const MemberAnnouncement* former =
      this->context.roster.Find(this->entry.former_primary);
  return this->former_position && this->former_is_primary &&
         former != nullptr && !former->info.leaving &&
         *this->former_position >= this->acknowledged;
}

void SwitchoverProcedure::TryChoose(steady_clock::time_point now) {
  if (this->entry.phase != TermPhase::kElecting || !this->leases_expired_at)
    return;
  const SuccessorChoiceInput input = this->ChoiceInput();
  const auto chosen = ChooseSuccessor(input);
  this->RecordDecision(now, input, chosen);
  if (!chosen) return;
  this->StepDownFormerPrimary();
  this->ProposePrimary(now, chosen->id, chosen->received);
}

void SwitchoverProcedure::ProposePrimary(steady_clock::time_point now,
                                         const MemberId& member,
                                         const LogPosition& position) {
  this->Propose(
      now, DatabaseCommand{ChoosePrimary{this->entry.database, this->entry.term,
                                         member, position}});
}

/** Tells the former primary to step down. It would notice the new primary by
 * itself, but later. */
void SwitchoverProcedure::StepDownFormerPrimary() {
  this->Ask(
      this->entry.former_primary,
      AdminRequest(MemberRequestKind::kStepDown, this->PauseTerm()),
      [](steady_clock::time_point, const MemberId&, const AdminAnswer&) {});
}

void SwitchoverProcedure::OnPhase(steady_clock::time_point now,
                                  const DatabaseTerm& next) {
  this->entry = next;
  this->next_round = now;
  this->next_proposal = now;
  this->promotion_deadline = now + this->context.settings.promotion_timeout;
  this->OnTick(now);
}

void SwitchoverProcedure::OnAcknowledged(const LogPosition& position) {
  this->acknowledged = std::max(this->acknowledged, position);
  ++this->acknowledged_reports;
}

void SwitchoverProcedure::Promote(steady_clock::time_point now) {
  if (now >= this->promotion_deadline) {
    this->ProposeNextTerm(now, "the promotion took too long");
    return;
  }
  if (this->promotion_in_flight || now < this->next_promotion) return;
  this->promotion_in_flight = true;
  this->Record(EventCode::kPromotionCalled, EventLevel::kInfo, "call",
               this->entry.primary);
  const std::weak_ptr<SwitchoverProcedure> weak = this->weak_from_this();
  const PromotionCall call{this->entry.database, this->entry.primary,
                           this->context.self, this->context.hooks.fence()};
  const auto allowed = [weak] {
    const auto self = weak.lock();
    return self != nullptr && self->context.hooks.leads();
  };
  this->context.hooks.promotion.promote(
      call, allowed, [weak](PromotionResult result) {
        const auto self = weak.lock();
        if (self) self->OnPromotionResult(self->context.hooks.now(), result);
      });
}

void SwitchoverProcedure::OnPromotionResult(steady_clock::time_point now,
                                            PromotionResult result) {
  this->promotion_in_flight = false;
  this->next_promotion = now + this->context.settings.promotion_retry_interval;
  if (this->entry.phase != TermPhase::kPromoting) return;
  if (result == PromotionResult::kMemberDown) {
    this->ProposeNextTerm(now, "the chosen member isn't running");
  } else if (result == PromotionResult::kAccepted) {
    this->next_promotion = this->promotion_deadline;
  }
}

void SwitchoverProcedure::PollChosen() {
  this->Ask(this->entry.primary, AdminRequest(MemberRequestKind::kStatus),
            [this](steady_clock::time_point answered_at, const MemberId&,
                   const AdminAnswer& answer) {
              this->OnChosenStatus(answered_at, answer);
            });
}

void SwitchoverProcedure::OnChosenStatus(steady_clock::time_point now,
                                         const AdminAnswer& answer) {
  if (this->entry.phase != TermPhase::kPromoting) return;
  if (answer.response != MemberResponse::kAnswered) return;
  if (!answer.status.primary) return;
  this->Propose(now, DatabaseCommand{ConfirmPrimary{this->entry.database,
                                                    this->entry.term}});
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

void SwitchoverProcedure::Record(EventCode code, EventLevel level,
                                 const char* step,
                                 const MemberId& member) const {
  this->context.hooks.events.record(
      Event{code,
            level,
            {{"database", this->entry.database.Value()},
             {"term", std::to_string(this->entry.term)},
             {"member", member.Value()},
             {"step", step}}});
}

/** Records a decision whose outcome differs from the last one. */
void SwitchoverProcedure::RecordDecision(
    steady_clock::time_point now, const SuccessorChoiceInput& input,
    const std::optional<PausedReplica>& chosen) {
  const Event event = MakeSuccessorRecord(
      {this->entry, this->context.roster, input, chosen,
       this->acknowledged_reports,
       std::chrono::duration_cast<std::chrono::milliseconds>(
           now - this->started_at)});
  const std::string& outcome = event.fields.back().second;
  if (outcome == this->recorded_outcome) return;
  this->recorded_outcome = outcome;
  this->context.hooks.events.record(event);
}

}  // namespace lacewingferry
