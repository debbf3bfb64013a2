#include "lacewingferry/decisions/switchover/succession_run.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

}  // namespace

SuccessionRun::SuccessionRun(const SwitchoverContext& shared,
                             const DatabaseTerm& database_entry,
                             steady_clock::time_point now)
    : context(shared),
      entry(database_entry),
      newest_member_term(database_entry.start.term),
      next_round(now),
      promotion_limit(now + shared.settings.promotion_limit) {}

DatabaseStamp SuccessionRun::Stamp() const {
  return DatabaseStamp{this->entry.database, this->entry.term,
                       this->entry.members_revision};
}

std::vector<MemberId> SuccessionRun::Replicas() const {
  std::vector<MemberId> replicas =
      this->context.roster.MembersOf(this->entry.database);
  replicas.erase(
      std::remove(replicas.begin(), replicas.end(), this->entry.former_primary),
      replicas.end());
  return replicas;
}

void SuccessionRun::Ask(const MemberId& member, const MemberRequest& request,
                        Answered answered) {
  const MemberAnnouncement* known = this->context.roster.Find(member);
  if (known == nullptr || !this->asking.insert(member).second) return;
  const std::weak_ptr<SuccessionRun> weak = this->weak_from_this();
  this->context.hooks.admin.ask(
      TargetOf(*known), request, this->context.settings.patient_limit,
      [weak, member, answered = std::move(answered)](const AdminAnswer& reply) {
        const auto run = weak.lock();
        if (!run) return;
        run->asking.erase(member);
        if (reply.response == MemberResponse::kAnswered) {
          run->newest_member_term =
              std::max({run->newest_member_term, reply.status.term,
                        reply.status.received.term});
        }
        answered(run->context.hooks.now(), member, reply);
      });
}

void SuccessionRun::OnTick(steady_clock::time_point now) {
  if (now < this->next_round) return;
  this->next_round = now + this->context.settings.round;
  if (this->entry.phase == TermPhase::kElecting) {
    this->Elect(now);
  } else if (this->entry.phase == TermPhase::kPromoting) {
    this->Promote(now);
    this->AskChosen();
  }
}

void SuccessionRun::Elect(steady_clock::time_point now) {
  // Where the former primary is lost, nothing is gained by waiting for the
  // leases before the replicas are paused.
  if (!this->Planned()) this->PauseReplicas();
  if (!this->freed) {
    this->Recall(now);
    if (this->context.hooks.free_at(this->Stamp()) > now) return;
    this->freed = now;
  }
  this->TryChoose(now);
  this->AskFormer(now);
  if (!this->former_answered) return;
  if (this->FormerStays()) {
    this->Choose(now, this->entry.former_primary, *this->former_position);
    return;
  }
  if (this->ReplicasMayCatchUp(now)) return;
  this->PauseReplicas();
  this->TryChoose(now);
}

/** Whether the former primary leaves by itself, and lives until it has. */
bool SuccessionRun::Planned() const {
  const MemberAnnouncement* former =
      this->context.roster.Find(this->entry.former_primary);
  return former != nullptr && former->info.leaving;
}

void SuccessionRun::Recall(steady_clock::time_point now) {
  if (now < this->next_recall) return;
  this->next_recall = now + this->context.settings.recall_interval;
  this->context.hooks.recall(
      this->Stamp(), this->Planned() ? this->context.settings.planned_patience
                                     : this->context.settings.lost_patience);
}

/** Asks until the former primary answers or is known not to; asks again while
 * no successor is found, since it may come back with its log. */
void SuccessionRun::AskFormer(steady_clock::time_point now) {
  if (this->former_position) return;
  if (this->context.roster.Find(this->entry.former_primary) == nullptr) {
    this->former_answered = true;
    return;
  }
  if (this->former_asked &&
      now - *this->former_asked < this->context.settings.poll_interval) {
    return;
  }
  this->former_asked = now;
  this->Ask(this->entry.former_primary,
            AdminRequest(MemberRequestKind::kStatus),
            [this](steady_clock::time_point, const MemberId&,
                   const AdminAnswer& answer) {
              const bool lives = answer.response == MemberResponse::kBusy ||
                                 answer.response == MemberResponse::kSlow;
              if (lives) return;
              this->former_answered = true;
              if (answer.response != MemberResponse::kAnswered) return;
              this->former_position = answer.status.received;
              this->former_leads = answer.status.primary;
            });
}

bool SuccessionRun::ReplicasMayCatchUp(steady_clock::time_point now) {
  if (!this->former_position || !this->paused.empty()) return false;
  if (now - *this->freed > this->context.settings.catch_up) return false;
  for (const auto& item : this->received) {
    const MemberAnnouncement* replica = this->context.roster.Find(item.first);
    const bool stays = replica != nullptr && !replica->info.leaving;
    if (stays && item.second >= *this->former_position) return false;
  }
  this->WatchReplicas();
  return true;
}

void SuccessionRun::WatchReplicas() {
  for (const MemberId& replica : this->Replicas()) {
    this->Ask(replica, AdminRequest(MemberRequestKind::kStatus),
              [this](steady_clock::time_point, const MemberId& id,
                     const AdminAnswer& answer) {
                if (answer.response != MemberResponse::kAnswered) return;
                this->received[id] = answer.status.received;
              });
  }
}

void SuccessionRun::PauseReplicas() {
  for (const MemberId& replica : this->Replicas()) {
    if (this->paused.count(replica) > 0) continue;
    this->Ask(replica,
              AdminRequest(MemberRequestKind::kPause, this->PauseTerm()),
              [this](steady_clock::time_point at, const MemberId& id,
                     const AdminAnswer& answer) {
                if (answer.response != MemberResponse::kAnswered) return;
                if (answer.status.paused_term == 0) return;
                this->paused[id] = answer.status.received;
                this->TryChoose(at);
              });
  }
}

SuccessionEvidence SuccessionRun::Evidence() const {
  SuccessionEvidence evidence;
  for (const MemberId& id : this->Replicas()) {
    const auto found = this->paused.find(id);
    if (found == this->paused.end()) {
      evidence.missing.insert(id);
      continue;
    }
    const MemberInfo& info = this->context.roster.Find(id)->info;
    evidence.paused.push_back({id, info.zone, found->second, info.leaving});
  }
  evidence.former_position = this->former_position;
  evidence.acknowledged = this->acknowledged;
  evidence.waited = this->freed && this->context.hooks.now() - *this->freed >=
                                       this->context.settings.acknowledged_wait;
  const MemberAnnouncement* former =
      this->context.roster.Find(this->entry.former_primary);
  if (former == nullptr) return evidence;
  evidence.former_zone = former->info.zone;
  if (this->former_position && !this->former_leads) {
    evidence.paused.push_back({former->info.id, former->info.zone,
                               *this->former_position, former->info.leaving});
  }
  return evidence;
}

/** A primary that was taken for lost, and leads, need not be replaced. */
bool SuccessionRun::FormerStays() const {
  const MemberAnnouncement* former =
      this->context.roster.Find(this->entry.former_primary);
  return this->former_position && this->former_leads && former != nullptr &&
         !former->info.leaving && *this->former_position >= this->acknowledged;
}

void SuccessionRun::TryChoose(steady_clock::time_point now) {
  if (this->entry.phase != TermPhase::kElecting || !this->freed) return;
  const auto chosen = ChooseSuccessor(this->Evidence());
  if (!chosen) return;
  this->StopFormer();
  this->Choose(now, chosen->id, chosen->received);
}

void SuccessionRun::Choose(steady_clock::time_point now, const MemberId& member,
                           const LogPosition& position) {
  this->Propose(
      now, DatabaseCommand{ChoosePrimary{this->entry.database, this->entry.term,
                                         member, position}});
}

/** The former primary would notice the new one by itself, but later. */
void SuccessionRun::StopFormer() {
  this->Ask(
      this->entry.former_primary,
      AdminRequest(MemberRequestKind::kStepDown, this->PauseTerm()),
      [](steady_clock::time_point, const MemberId&, const AdminAnswer&) {});
}

void SuccessionRun::OnPhase(steady_clock::time_point now,
                            const DatabaseTerm& next) {
  this->entry = next;
  this->next_round = now;
  this->next_proposal = now;
  this->promotion_limit = now + this->context.settings.promotion_limit;
  this->OnTick(now);
}

void SuccessionRun::OnAcknowledged(const LogPosition& position) {
  this->acknowledged = std::max(this->acknowledged, position);
}

void SuccessionRun::Promote(steady_clock::time_point now) {
  if (now >= this->promotion_limit) {
    this->Supersede(now, "the promotion took too long");
    return;
  }
  if (this->calling || now < this->next_promotion) return;
  this->calling = true;
  this->Record(EventCode::kPromotionCalled, EventLevel::kInfo, "call",
               this->entry.primary);
  const std::weak_ptr<SuccessionRun> weak = this->weak_from_this();
  const PromotionCall call{this->entry.database, this->entry.primary,
                           this->context.self, this->context.hooks.fence()};
  const auto alive = [weak] {
    const auto run = weak.lock();
    return run != nullptr && run->context.hooks.leads();
  };
  this->context.hooks.promotion.promote(
      call, alive, [weak](PromotionResult result) {
        const auto run = weak.lock();
        if (run) run->OnPromotion(run->context.hooks.now(), result);
      });
}

void SuccessionRun::OnPromotion(steady_clock::time_point now,
                                PromotionResult result) {
  this->calling = false;
  this->next_promotion = now + this->context.settings.promotion_retry;
  if (this->entry.phase != TermPhase::kPromoting) return;
  if (result == PromotionResult::kMemberDown) {
    this->Supersede(now, "the chosen member isn't running");
  } else if (result == PromotionResult::kAccepted) {
    this->next_promotion = this->promotion_limit;
  }
}

void SuccessionRun::AskChosen() {
  this->Ask(this->entry.primary, AdminRequest(MemberRequestKind::kStatus),
            [this](steady_clock::time_point at, const MemberId&,
                   const AdminAnswer& answer) { this->OnChosen(at, answer); });
}

void SuccessionRun::OnChosen(steady_clock::time_point now,
                             const AdminAnswer& answer) {
  if (this->entry.phase != TermPhase::kPromoting) return;
  if (answer.response != MemberResponse::kAnswered) return;
  if (!answer.status.primary) return;
  this->Propose(now, DatabaseCommand{ConfirmPrimary{this->entry.database,
                                                    this->entry.term}});
}

void SuccessionRun::Supersede(steady_clock::time_point now,
                              const char* reason) {
  this->Propose(
      now, DatabaseCommand{BeginTerm{this->entry.database, this->entry.term,
                                     this->entry.term + 1, reason}});
}

void SuccessionRun::Propose(steady_clock::time_point now,
                            const DatabaseCommand& command) {
  if (now < this->next_proposal) return;
  this->next_proposal = now + this->context.settings.proposal_retry;
  this->context.hooks.propose(command);
}

void SuccessionRun::Record(EventCode code, EventLevel level, const char* what,
                           const MemberId& member) const {
  this->context.hooks.events.record(
      Event{code,
            level,
            {{"database", this->entry.database.Value()},
             {"term", std::to_string(this->entry.term)},
             {"member", member.Value()},
             {"step", what}}});
}

}  // namespace lacewingferry
