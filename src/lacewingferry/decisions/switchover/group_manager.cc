#include "lacewingferry/decisions/switchover/group_manager.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

}  // namespace

GroupManager::GroupManager(const SwitchoverContext& shared,
                           DatabaseId database_id, steady_clock::time_point now)
    : context(shared),
      database(std::move(database_id)),
      calls(std::make_shared<PromotionCalls>(shared, this->database, now)),
      ended_run_watch(std::make_shared<EndedRunWatch>(shared, this->database)),
      created_at(now),
      next_poll(now) {}

const DatabaseTerm* GroupManager::Entry() const {
  return this->context.terms.Find(this->database);
}

std::vector<MemberId> GroupManager::Members() const {
  return this->context.roster.MembersOf(this->database);
}

void GroupManager::OnStateChanged(steady_clock::time_point now) {
  const DatabaseTerm* entry = this->Entry();
  if (entry == nullptr) return;
  this->RecordPhase(*entry);
  if (entry->phase != TermPhase::kSteady) {
    this->sample.reset();
    if (this->procedure == nullptr || this->procedure_term != entry->term) {
      this->StartProcedure(now, *entry);
    } else if (entry->phase == TermPhase::kPromoting &&
               this->procedure->Chosen().Empty()) {
      this->procedure->OnPhase(now, *entry);
    }
    return;
  }
  if (this->procedure != nullptr) {
    this->procedure.reset();
    this->next_replica_poll = now;
  }
  if (this->watched_term == entry->term) return;
  this->watched_term = entry->term;
  this->failure_detector.Reset();
  const MemberAnnouncement* primary = this->context.roster.Find(entry->primary);
  this->watched_incarnation = primary == nullptr ? 0 : primary->incarnation;
  this->next_poll = now;
}

/** Records one event for each phase of a term that this leader sees. */
void GroupManager::RecordPhase(const DatabaseTerm& entry) {
  const auto step = std::make_pair(entry.term, entry.phase);
  if (this->last_recorded == step) return;
  this->last_recorded = step;
  const EventCode code =
      entry.phase == TermPhase::kElecting    ? EventCode::kTermBegun
      : entry.phase == TermPhase::kPromoting ? EventCode::kPrimaryChosen
                                             : EventCode::kPrimaryConfirmed;
  this->context.hooks.events.record(
      Event{code,
            EventLevel::kInfo,
            {{"database", entry.database.Value()},
             {"term", std::to_string(entry.term)},
             {"primary", entry.primary.Value()},
             {"former", entry.former_primary.Value()},
             {"start", std::to_string(entry.start.term) + "." +
                           std::to_string(entry.start.offset)},
             {"reason", this->term_reason}}});
}

void GroupManager::StartProcedure(steady_clock::time_point now,
                                  const DatabaseTerm& entry) {
  this->procedure = std::make_shared<SwitchoverProcedure>(
      this->context, entry, this->evidence, this->calls, now);
  this->procedure_term = entry.term;
  this->procedure->OnTick(now);
}

void GroupManager::OnAcknowledged(const LogPosition& position) {
  this->evidence->OnReported(position);
}

void GroupManager::OnAnnounced(steady_clock::time_point now,
                               const MemberAnnouncement& announcement) {
  this->evidence->OnAnnounced({announcement.info.id, announcement.incarnation},
                              now);
}

void GroupManager::OnSuspended() { this->failure_detector.Reset(); }

steady_clock::time_point GroupManager::NextWakeup() const {
  return this->procedure != nullptr ? this->procedure->NextWakeup()
                                    : this->next_poll;
}

void GroupManager::OnTick(steady_clock::time_point now) {
  if (this->procedure != nullptr) {
    const auto active = this->procedure;
    active->OnTick(now);
    return;
  }
  if (now < this->next_poll) return;
  this->next_poll = now + this->context.settings.poll_interval;
  const DatabaseTerm* entry = this->Entry();
  if (entry == nullptr) {
    this->DiscoverPrimary(now);
  } else {
    this->Monitor(now, *entry);
  }
}

void GroupManager::DiscoverPrimary(steady_clock::time_point now) {
  const std::weak_ptr<GroupManager> weak = this->weak_from_this();
  for (const MemberId& id : this->Members()) {
    if (!this->awaiting_answer.insert(id).second) continue;
    this->context.hooks.admin.ask(
        TargetOf(*this->context.roster.Find(id)),
        AdminRequest(MemberRequestKind::kStatus),
        this->context.settings.answer_timeout,
        [weak, id](const AdminAnswer& answer) {
          const auto manager = weak.lock();
          if (!manager) return;
          manager->awaiting_answer.erase(id);
          if (answer.response != MemberResponse::kAnswered) return;
          manager->answers[id] = answer;
          manager->TryAdopt(manager->context.hooks.now());
        });
  }
  this->TryAdopt(now);
}

/** Adopts the group with the primary of the highest term. Waits until at least
 * three members are known and all of them have answered; after adoption_timeout
 * two known members and one answer from a primary are enough. */
void GroupManager::TryAdopt(steady_clock::time_point now) {
  if (this->Entry() != nullptr) return;
  const std::vector<MemberId> members = this->Members();
  const bool waited =
      now - this->created_at >= this->context.settings.adoption_timeout;
  if (members.size() < 2) return;
  if (!waited && (members.size() < 3 || this->answers.size() < members.size()))
    return;
  const MemberId* primary = nullptr;
  std::uint64_t term = 0;
  for (const auto& [id, answer] : this->answers) {
    if (!answer.status.primary || answer.status.term < term) continue;
    primary = &id;
    term = answer.status.term;
  }
  if (primary == nullptr || this->context.roster.Find(*primary) == nullptr) {
    return;
  }
  this->Propose(now, DatabaseCommand{AdoptDatabase{
                         this->database, term, *primary, members,
                         static_cast<std::uint32_t>(members.size())}});
}

void GroupManager::Monitor(steady_clock::time_point now,
                           const DatabaseTerm& entry) {
  if (this->context.ended_runs.Of(this->database).runs.empty()) {
    this->evidence->ForgetCovered();
  }
  this->ended_run_watch->OnTick(now);
  this->AskPrimary(entry);
  this->AskReplicas(now, entry);
  this->ReplaceIfNeeded(now, entry);
  this->AddNewMembers(now, entry);
}

void GroupManager::AskReplicas(steady_clock::time_point now,
                               const DatabaseTerm& entry) {
  if (now < this->next_replica_poll) return;
  this->next_replica_poll = now + this->context.settings.replica_poll_interval;
  this->evidence->KeepOnly(this->Members());
  const std::weak_ptr<GroupManager> weak = this->weak_from_this();
  for (const MemberId& id : this->Members()) {
    if (id == entry.primary) continue;
    this->context.hooks.admin.ask(
        TargetOf(*this->context.roster.Find(id)),
        AdminRequest(MemberRequestKind::kStatus),
        this->context.settings.answer_timeout,
        [weak, id, term = entry.term](const AdminAnswer& answer) {
          const auto manager = weak.lock();
          if (manager) manager->OnReplicaAnswer(id, term, answer);
        });
  }
}

/** Resumes a paused replica outside a switchover. A promotion ends the pause by
 * itself; but if the former primary was kept, or the control leader that paused
 * the replica lost leadership, the replica must be told. The request is
 * repeated until the replica reports that it is no longer paused. */
void GroupManager::OnReplicaAnswer(const MemberId& replica, std::uint64_t term,
                                   const AdminAnswer& answer) {
  if (answer.response != MemberResponse::kAnswered) return;
  this->CheckTermOf(replica, answer.status);
  this->evidence->OnReplica(replica, answer.opened_at);
  if (answer.status.paused_term == 0 || !this->context.hooks.leads()) return;
  const DatabaseTerm* entry = this->Entry();
  const bool steady = entry != nullptr && entry->term == term &&
                      entry->phase == TermPhase::kSteady;
  const MemberAnnouncement* known = this->context.roster.Find(replica);
  if (!steady || known == nullptr) return;
  this->context.hooks.admin.ask(
      TargetOf(*known), AdminRequest(MemberRequestKind::kResume),
      this->context.settings.answer_timeout, [](const AdminAnswer&) {});
}

void GroupManager::CheckTermOf(const MemberId& member,
                               const MemberStatus& status) {
  const DatabaseTerm* entry = this->Entry();
  const bool steady = entry != nullptr && entry->phase == TermPhase::kSteady &&
                      entry->leading_term != 0;
  if (!steady || !status.primary || status.term <= entry->leading_term) return;
  if (!this->unchosen.insert({member, status.term}).second) return;
  this->context.hooks.unchosen_primary();
  this->context.hooks.events.record(
      MakeUnchosenRecord(*entry, member, status.term));
}

std::optional<PrimarySample> GroupManager::CurrentPosition(
    steady_clock::time_point now) const {
  if (this->procedure == nullptr) return this->sample;
  const auto covering = this->procedure->CoveringPosition();
  if (!covering) return std::nullopt;
  return PrimarySample{*covering, now};
}

void GroupManager::AskPrimary(const DatabaseTerm& entry) {
  const MemberAnnouncement* primary = this->context.roster.Find(entry.primary);
  if (primary == nullptr || this->primary_request_in_flight) return;
  this->primary_request_in_flight = true;
  const std::weak_ptr<GroupManager> weak = this->weak_from_this();
  const steady_clock::time_point asked_at = this->context.hooks.now();
  this->context.hooks.admin.ask(
      TargetOf(*primary), AdminRequest(MemberRequestKind::kStatus),
      this->context.settings.answer_timeout,
      [weak, asked_at, id = entry.primary](const AdminAnswer& answer) {
        const auto manager = weak.lock();
        if (!manager) return;
        manager->primary_request_in_flight = false;
        manager->OnPrimaryAnswer(asked_at, id, answer);
      });
}

void GroupManager::OnPrimaryAnswer(steady_clock::time_point asked_at,
                                   const MemberId& primary,
                                   const AdminAnswer& answer) {
  const DatabaseTerm* entry = this->Entry();
  if (entry == nullptr || entry->primary != primary ||
      entry->phase != TermPhase::kSteady) {
    return;
  }
  const steady_clock::time_point now = this->context.hooks.now();
  const bool demoted =
      answer.response == MemberResponse::kAnswered && !answer.status.primary;
  this->failure_detector.OnResponse(
      asked_at, demoted ? MemberResponse::kRefused : answer.response);
  if (answer.response == MemberResponse::kAnswered && !demoted) {
    this->CheckTermOf(primary, answer.status);
    this->TakePrimaryPosition(asked_at, *entry, answer);
  }
  this->ReplaceIfNeeded(now, *entry);
}

void GroupManager::TakePrimaryPosition(steady_clock::time_point asked_at,
                                       const DatabaseTerm& entry,
                                       const AdminAnswer& answer) {
  this->sample = PrimarySample{answer.status.received, asked_at};
  // Until the first commit of its term, a primary has what it was chosen with.
  PrimarySample covering = *this->sample;
  if (covering.position.offset == entry.start.offset) {
    covering.position = entry.start;
  }
  this->evidence->OnPrimary(entry.primary, answer.opened_at, covering);
  this->CoverEndedRunsWith(covering, entry);
}

/** Has the control log remember that a position of the primary, read after runs
 * had ended, covers what they acknowledged. The first position of a group
 * covers those that ended before control knew it. */
void GroupManager::CoverEndedRunsWith(const PrimarySample& covering,
                                      const DatabaseTerm& entry) {
  const EndedRunsOfDatabase& known =
      this->context.ended_runs.Of(this->database);
  const LogPosition none;
  const bool first =
      known.floor == none && entry.start == none && covering.position != none;
  const CoverEndedRuns cover{this->database, entry.term,
                             this->ended_run_watch->OverAt(covering.asked_at),
                             covering.position};
  for (const MemberRun& run : cover.runs) {
    this->evidence->OnCovered(run, covering.position);
  }
  const steady_clock::time_point now = this->context.hooks.now();
  if ((cover.runs.empty() && !first) || now < this->next_cover) return;
  this->next_cover = now + this->context.settings.proposal_retry_interval;
  this->context.hooks.cover(cover);
}

void GroupManager::ReplaceIfNeeded(steady_clock::time_point now,
                                   const DatabaseTerm& entry) {
  const MemberAnnouncement* primary = this->context.roster.Find(entry.primary);
  if (primary == nullptr) {
    this->ProposeNextTerm(now, entry, "the primary left");
  } else if (primary->incarnation != this->watched_incarnation &&
             this->watched_incarnation != 0) {
    this->ProposeNextTerm(now, entry, "the primary began anew");
  } else if (this->failure_detector.Lost(now)) {
    this->ProposeNextTerm(now, entry, "the primary doesn't answer");
  } else if (primary->info.leaving && this->HasSuccessor(entry)) {
    this->ProposeNextTerm(now, entry, "the primary leaves");
  }
}

bool GroupManager::HasSuccessor(const DatabaseTerm& entry) const {
  const std::vector<MemberId> members = this->Members();
  return std::any_of(members.begin(), members.end(), [&](const MemberId& id) {
    return id != entry.primary && !this->context.roster.Find(id)->info.leaving;
  });
}

void GroupManager::ProposeNextTerm(steady_clock::time_point now,
                                   const DatabaseTerm& entry,
                                   const char* reason) {
  this->term_reason = reason;
  this->Propose(now, DatabaseCommand{BeginTerm{entry.database, entry.term,
                                               entry.term + 1, reason}});
}

void GroupManager::AddNewMembers(steady_clock::time_point now,
                                 const DatabaseTerm& entry) {
  for (const MemberId& id : this->Members()) {
    if (entry.HasMember(id)) continue;
    this->Propose(now, DatabaseCommand{AddMember{entry.database, entry.term,
                                                 entry.members_revision, id}});
    return;
  }
}

void GroupManager::Propose(steady_clock::time_point now,
                           const DatabaseCommand& command) {
  if (now < this->next_proposal) return;
  this->next_proposal = now + this->context.settings.proposal_retry_interval;
  this->context.hooks.propose(command);
}

}  // namespace lacewingferry
