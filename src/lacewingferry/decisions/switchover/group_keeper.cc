#include "lacewingferry/decisions/switchover/group_keeper.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

}  // namespace

GroupKeeper::GroupKeeper(const SwitchoverContext& shared, DatabaseId group,
                         steady_clock::time_point now)
    : context(shared),
      database(std::move(group)),
      first_seen(now),
      next_poll(now) {}

const DatabaseTerm* GroupKeeper::Entry() const {
  return this->context.terms.Find(this->database);
}

std::vector<MemberId> GroupKeeper::Members() const {
  return this->context.roster.MembersOf(this->database);
}

void GroupKeeper::OnChanged(steady_clock::time_point now) {
  const DatabaseTerm* entry = this->Entry();
  if (entry == nullptr) return;
  this->RecordPhase(*entry);
  if (entry->phase != TermPhase::kSteady) {
    this->sample.reset();
    if (this->run == nullptr || this->run_term != entry->term) {
      this->StartRun(now, *entry);
    } else if (entry->phase == TermPhase::kPromoting &&
               this->run->Chosen().Empty()) {
      this->run->OnPhase(now, *entry);
    }
    return;
  }
  if (this->run != nullptr) {
    this->run.reset();
    this->next_replica_poll = now;
  }
  if (this->watched_term == entry->term) return;
  this->watched_term = entry->term;
  this->watch.Reset();
  const MemberAnnouncement* primary = this->context.roster.Find(entry->primary);
  this->watched_incarnation = primary == nullptr ? 0 : primary->incarnation;
  this->next_poll = now;
}

/** One line for each step of a term that this leader saw. */
void GroupKeeper::RecordPhase(const DatabaseTerm& entry) {
  const auto step = std::make_pair(entry.term, entry.phase);
  if (this->recorded == step) return;
  this->recorded = step;
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
             {"reason", this->reason}}});
}

void GroupKeeper::StartRun(steady_clock::time_point now,
                           const DatabaseTerm& entry) {
  this->run = std::make_shared<SuccessionRun>(this->context, entry, now);
  this->run_term = entry.term;
  this->run->OnTick(now);
}

void GroupKeeper::OnAcknowledged(const LogPosition& position) {
  if (this->run != nullptr) this->run->OnAcknowledged(position);
}

void GroupKeeper::OnSuspended() { this->watch.Reset(); }

steady_clock::time_point GroupKeeper::NextWakeup() const {
  return this->run != nullptr ? this->run->NextWakeup() : this->next_poll;
}

void GroupKeeper::OnTick(steady_clock::time_point now) {
  if (this->run != nullptr) {
    const auto running = this->run;
    running->OnTick(now);
    return;
  }
  if (now < this->next_poll) return;
  this->next_poll = now + this->context.settings.poll_interval;
  const DatabaseTerm* entry = this->Entry();
  if (entry == nullptr) {
    this->LookForPrimary(now);
  } else {
    this->Watch(now, *entry);
  }
}

void GroupKeeper::LookForPrimary(steady_clock::time_point now) {
  const std::weak_ptr<GroupKeeper> weak = this->weak_from_this();
  for (const MemberId& id : this->Members()) {
    if (!this->asking.insert(id).second) continue;
    this->context.hooks.admin.ask(
        TargetOf(*this->context.roster.Find(id)),
        AdminRequest(MemberRequestKind::kStatus),
        this->context.settings.answer_limit,
        [weak, id](const AdminAnswer& answer) {
          const auto keeper = weak.lock();
          if (!keeper) return;
          keeper->asking.erase(id);
          if (answer.response != MemberResponse::kAnswered) return;
          keeper->answers[id] = answer;
          keeper->TryAdopt(keeper->context.hooks.now());
        });
  }
  this->TryAdopt(now);
}

/** Adopts with the primary of the highest term, once all members that are
 * known answered or time has passed, and at least two did. */
void GroupKeeper::TryAdopt(steady_clock::time_point now) {
  if (this->Entry() != nullptr) return;
  const std::vector<MemberId> members = this->Members();
  const bool waited =
      now - this->first_seen >= this->context.settings.adoption_wait;
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

void GroupKeeper::Watch(steady_clock::time_point now,
                        const DatabaseTerm& entry) {
  this->AskPrimary(entry);
  this->AskReplicas(now, entry);
  this->ReplaceIfNeeded(now, entry);
  this->EnterMembers(now, entry);
}

void GroupKeeper::AskReplicas(steady_clock::time_point now,
                              const DatabaseTerm& entry) {
  if (now < this->next_replica_poll) return;
  this->next_replica_poll = now + this->context.settings.replica_interval;
  const std::weak_ptr<GroupKeeper> weak = this->weak_from_this();
  for (const MemberId& id : this->Members()) {
    if (id == entry.primary) continue;
    this->context.hooks.admin.ask(
        TargetOf(*this->context.roster.Find(id)),
        AdminRequest(MemberRequestKind::kStatus),
        this->context.settings.answer_limit,
        [weak, id, term = entry.term](const AdminAnswer& answer) {
          const auto keeper = weak.lock();
          if (keeper) keeper->OnReplicaAnswer(id, term, answer);
        });
  }
}

/** A pause ends with a promotion. Where the primary stayed, or the leader that
 * paused has lost its office, the replica has to be told, until it says that
 * it receives again. */
void GroupKeeper::OnReplicaAnswer(const MemberId& replica, std::uint64_t term,
                                  const AdminAnswer& answer) {
  if (answer.response != MemberResponse::kAnswered) return;
  if (answer.status.paused_term == 0 || !this->context.hooks.leads()) return;
  const DatabaseTerm* entry = this->Entry();
  const bool steady = entry != nullptr && entry->term == term &&
                      entry->phase == TermPhase::kSteady;
  const MemberAnnouncement* known = this->context.roster.Find(replica);
  if (!steady || known == nullptr) return;
  this->context.hooks.admin.ask(
      TargetOf(*known), AdminRequest(MemberRequestKind::kResume),
      this->context.settings.answer_limit, [](const AdminAnswer&) {});
}

std::optional<PositionSampled> GroupKeeper::Sample(
    steady_clock::time_point now) const {
  if (this->run == nullptr) return this->sample;
  const auto covering = this->run->Covering();
  if (!covering) return std::nullopt;
  return PositionSampled{*covering, now};
}

void GroupKeeper::AskPrimary(const DatabaseTerm& entry) {
  const MemberAnnouncement* primary = this->context.roster.Find(entry.primary);
  if (primary == nullptr || this->primary_asked) return;
  this->primary_asked = true;
  const std::weak_ptr<GroupKeeper> weak = this->weak_from_this();
  const steady_clock::time_point asked = this->context.hooks.now();
  this->context.hooks.admin.ask(
      TargetOf(*primary), AdminRequest(MemberRequestKind::kStatus),
      this->context.settings.answer_limit,
      [weak, asked, id = entry.primary](const AdminAnswer& answer) {
        const auto keeper = weak.lock();
        if (!keeper) return;
        keeper->primary_asked = false;
        keeper->OnPrimaryAnswer(asked, id, answer);
      });
}

void GroupKeeper::OnPrimaryAnswer(steady_clock::time_point asked,
                                  const MemberId& primary,
                                  const AdminAnswer& answer) {
  const DatabaseTerm* entry = this->Entry();
  if (entry == nullptr || entry->primary != primary ||
      entry->phase != TermPhase::kSteady) {
    return;
  }
  const steady_clock::time_point now = this->context.hooks.now();
  const bool deposed =
      answer.response == MemberResponse::kAnswered && !answer.status.primary;
  this->watch.OnOutcome(asked,
                        deposed ? MemberResponse::kRefused : answer.response);
  if (answer.response == MemberResponse::kAnswered && !deposed) {
    this->sample = PositionSampled{answer.status.received, asked};
  }
  this->ReplaceIfNeeded(now, *entry);
}

void GroupKeeper::ReplaceIfNeeded(steady_clock::time_point now,
                                  const DatabaseTerm& entry) {
  const MemberAnnouncement* primary = this->context.roster.Find(entry.primary);
  if (primary == nullptr) {
    this->BeginNextTerm(now, entry, "the primary left");
  } else if (primary->incarnation != this->watched_incarnation &&
             this->watched_incarnation != 0) {
    this->BeginNextTerm(now, entry, "the primary began anew");
  } else if (this->watch.Lost(now)) {
    this->BeginNextTerm(now, entry, "the primary doesn't answer");
  } else if (primary->info.leaving && this->HasSuccessor(entry)) {
    this->BeginNextTerm(now, entry, "the primary leaves");
  }
}

bool GroupKeeper::HasSuccessor(const DatabaseTerm& entry) const {
  const std::vector<MemberId> members = this->Members();
  return std::any_of(members.begin(), members.end(), [&](const MemberId& id) {
    return id != entry.primary && !this->context.roster.Find(id)->info.leaving;
  });
}

void GroupKeeper::BeginNextTerm(steady_clock::time_point now,
                                const DatabaseTerm& entry, const char* why) {
  this->reason = why;
  this->Propose(now, DatabaseCommand{BeginTerm{entry.database, entry.term,
                                               entry.term + 1, why}});
}

void GroupKeeper::EnterMembers(steady_clock::time_point now,
                               const DatabaseTerm& entry) {
  for (const MemberId& id : this->Members()) {
    if (entry.HasMember(id)) continue;
    this->Propose(now, DatabaseCommand{AddMember{entry.database, entry.term,
                                                 entry.members_revision, id}});
    return;
  }
}

void GroupKeeper::Propose(steady_clock::time_point now,
                          const DatabaseCommand& command) {
  if (now < this->next_proposal) return;
  this->next_proposal = now + this->context.settings.proposal_retry;
  this->context.hooks.propose(command);
}

}  // namespace lacewingferry
