#include "lacewingferry/decisions/failover/failover_run.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/core/events.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The pause between two rounds of fences and requests for releases. */
constexpr milliseconds kRoundPause{100};
/** How long members that don't follow a steady primary are still ordered to;
 * later ones are ordered when they announce themselves. */
constexpr milliseconds kLinger{5000};

MemberCommand MakeCommand(const DatabaseTerm& entry, const MemberInfo& member,
                          MemberCommandKind kind) {
  MemberCommand command;
  command.database = entry.database;
  command.member = member;
  command.kind = kind;
  command.term = entry.term;
  return command;
}

}  // namespace

FailoverRun::FailoverRun(steady_clock::time_point now,
                         const FailoverParts& run_parts,
                         const DatabaseTerm& database_entry)
    : parts(run_parts) {
  this->OnPhase(now, database_entry);
}

DatabaseStamp FailoverRun::Stamp() const {
  return DatabaseStamp{this->entry.database, this->entry.term, 0};
}

void FailoverRun::OnPhase(steady_clock::time_point now,
                          const DatabaseTerm& database_entry) {
  this->entry = database_entry;
  this->next_proposal = now;
  this->next_round = now + kRoundPause;
  if (this->entry.phase == TermPhase::kElecting) this->Elect(now);
  if (this->entry.phase == TermPhase::kPromoting) this->Promote(now);
  if (this->entry.phase == TermPhase::kSteady) {
    this->linger_limit = now + kLinger;
  }
}

void FailoverRun::Elect(steady_clock::time_point now) {
  this->FenceMissing(now);
  this->AskForReleases(now);
  this->TryChoose(now);
}

void FailoverRun::FenceMissing(steady_clock::time_point now) {
  for (const MemberId& id : this->entry.members) {
    const MemberAnnouncement* member = this->parts.context.FindMember(id);
    if (member == nullptr || this->fenced.count(id) > 0) continue;
    if (!this->busy.insert(id).second) continue;
    this->parts.commander.Start(
        now, MakeCommand(this->entry, member->info, MemberCommandKind::kFence),
        [this](steady_clock::time_point at, const MemberCommandResult& result) {
          this->OnFenced(at, result);
        });
  }
}

void FailoverRun::AskForReleases(steady_clock::time_point now) {
  const auto holders = this->parts.grantor.EarlierHolders(now, this->Stamp());
  for (const NodeId& holder : holders) {
    this->parts.context.hooks.send(
        holder, LeaseRelease{this->entry.database, this->entry.term});
  }
}

void FailoverRun::OnFenced(steady_clock::time_point now,
                           const MemberCommandResult& result) {
  this->busy.erase(result.member);
  if (!result.answered) return;
  if (result.member_term > this->entry.term) {
    this->Supersede(now, result.member_term, "a member knows a higher term");
    return;
  }
  if (!result.accepted) return;
  const MemberAnnouncement* member =
      this->parts.context.FindMember(result.member);
  if (member == nullptr) return;
  const FencedMember answer{result.member, member->info.zone, result.position};
  this->fenced[result.member] = answer;
  if (this->entry.phase == TermPhase::kElecting) {
    this->TryChoose(now);
  } else if (this->promoted) {
    this->OrderToFollow(now);
  }
}

void FailoverRun::TryChoose(steady_clock::time_point now) {
  if (this->entry.phase != TermPhase::kElecting) return;
  if (this->fenced.size() < this->entry.Majority()) return;
  const auto free_at = this->parts.grantor.EarlierLeasesExpireAt(this->Stamp());
  if (now < free_at) {
    this->next_round = std::min(this->next_round, free_at);
    return;
  }
  std::vector<FencedMember> candidates;
  for (const auto& item : this->fenced) candidates.push_back(item.second);
  const MemberAnnouncement* former =
      this->parts.context.FindMember(this->entry.former_primary);
  const FencedMember& chosen = ChooseAmongFenced(
      candidates, this->entry.former_primary,
      former == nullptr ? AvailabilityZone() : former->info.zone);
  this->Propose(
      now, DatabaseCommand{ChoosePrimary{this->entry.database, this->entry.term,
                                         chosen.id, chosen.position}});
}

void FailoverRun::Promote(steady_clock::time_point now) {
  this->promotion_limit = now + this->parts.context.settings.promotion_patience;
  const MemberAnnouncement* member =
      this->parts.context.FindMember(this->entry.primary);
  if (member == nullptr) return;
  this->parts.commander.Start(
      now, MakeCommand(this->entry, member->info, MemberCommandKind::kPromote),
      [this](steady_clock::time_point at, const MemberCommandResult& result) {
        this->OnPromoted(at, result);
      });
}

void FailoverRun::OnPromoted(steady_clock::time_point now,
                             const MemberCommandResult& result) {
  if (!result.answered) return;
  if (!result.accepted) {
    this->Supersede(now, result.member_term, "the chosen primary refused");
    return;
  }
  this->promoted = true;
  this->in_term.insert(result.member);
  this->OrderToFollow(now);
  this->TryConfirm(now);
}

void FailoverRun::OrderToFollow(steady_clock::time_point now) {
  const MemberAnnouncement* primary =
      this->parts.context.FindMember(this->entry.primary);
  for (const MemberId& id : this->entry.members) {
    const MemberAnnouncement* member = this->parts.context.FindMember(id);
    if (member == nullptr || id == this->entry.primary) continue;
    if (this->in_term.count(id) > 0) continue;
    if (!this->busy.insert(id).second) continue;
    MemberCommand command =
        MakeCommand(this->entry, member->info, MemberCommandKind::kFollow);
    command.primary_log = primary->replication_endpoint;
    this->parts.commander.Start(
        now, command,
        [this](steady_clock::time_point at, const MemberCommandResult& result) {
          this->OnFollows(at, result);
        });
  }
}

void FailoverRun::OnFollows(steady_clock::time_point now,
                            const MemberCommandResult& result) {
  this->busy.erase(result.member);
  if (!result.answered || !result.accepted) return;
  this->in_term.insert(result.member);
  const auto fence = this->fenced.find(result.member);
  if (fence != this->fenced.end()) this->ReportDroppedTail(fence->second);
  this->TryConfirm(now);
}

void FailoverRun::ReportDroppedTail(const FencedMember& member) {
  if (member.position <= this->entry.start) return;
  this->parts.context.hooks.events.record(
      Event{EventCode::kTailDropped,
            EventLevel::kWarning,
            {{"database", this->entry.database.Value()},
             {"member", member.id.Value()},
             {"term", std::to_string(member.position.term)},
             {"offset", std::to_string(member.position.offset)},
             {"kept_term", std::to_string(this->entry.start.term)},
             {"kept_offset", std::to_string(this->entry.start.offset)}}});
}

void FailoverRun::TryConfirm(steady_clock::time_point now) {
  if (this->entry.phase != TermPhase::kPromoting || !this->promoted) return;
  if (this->in_term.size() < this->entry.Majority()) return;
  this->Propose(now, DatabaseCommand{ConfirmPrimary{this->entry.database,
                                                    this->entry.term}});
}

void FailoverRun::Supersede(steady_clock::time_point now,
                            std::uint64_t higher_term, const char* reason) {
  const std::uint64_t next = std::max(higher_term, this->entry.term) + 1;
  this->Propose(
      now, DatabaseCommand{BeginTerm{this->entry.database, this->entry.term,
                                     next, reason}});
}

void FailoverRun::Propose(steady_clock::time_point now,
                          const DatabaseCommand& command) {
  if (now < this->next_proposal) return;
  this->next_proposal = now + this->parts.context.settings.proposal_retry;
  this->parts.context.hooks.propose(now, command);
}

void FailoverRun::OnLeaseReleased(steady_clock::time_point now) {
  this->TryChoose(now);
}

void FailoverRun::OnTick(steady_clock::time_point now) {
  if (now < this->next_round) return;
  this->next_round = now + kRoundPause;
  if (this->entry.phase == TermPhase::kElecting) {
    this->Elect(now);
    return;
  }
  if (this->promoted) {
    this->OrderToFollow(now);
    this->TryConfirm(now);
  } else if (now >= this->promotion_limit) {
    this->Supersede(now, this->entry.term, "the promotion took too long");
  }
}

bool FailoverRun::Finished(steady_clock::time_point now) const {
  return this->entry.phase == TermPhase::kSteady &&
         (this->in_term.size() >= this->entry.members.size() ||
          now >= this->linger_limit);
}

}  // namespace lacewingferry
