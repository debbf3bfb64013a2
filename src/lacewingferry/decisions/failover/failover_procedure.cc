#include "lacewingferry/decisions/failover/failover_procedure.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/core/events.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The interval between two rounds of commands and lease release requests. */
constexpr milliseconds kRoundInterval{100};
/** How long after the primary is confirmed the other members are still told
 * to follow it. Later, FailoverManager tells them when they announce
 * themselves. */
constexpr milliseconds kFollowRetryPeriod{5000};

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

FailoverProcedure::FailoverProcedure(
    steady_clock::time_point now,
    const FailoverDependencies& procedure_dependencies,
    const DatabaseTerm& database_entry)
    : dependencies(procedure_dependencies) {
  this->OnPhase(now, database_entry);
}

DatabaseStamp FailoverProcedure::Stamp() const {
  return DatabaseStamp{this->entry.database, this->entry.term, 0};
}

void FailoverProcedure::OnPhase(steady_clock::time_point now,
                                const DatabaseTerm& database_entry) {
  this->entry = database_entry;
  this->next_proposal = now;
  this->next_round = now + kRoundInterval;
  if (this->entry.phase == TermPhase::kElecting) this->Elect(now);
  if (this->entry.phase == TermPhase::kPromoting) this->Promote(now);
  if (this->entry.phase == TermPhase::kSteady) {
    this->follow_deadline = now + kFollowRetryPeriod;
  }
}

void FailoverProcedure::Elect(steady_clock::time_point now) {
  this->FenceMembers(now);
  this->RequestLeaseReleases(now);
  this->TryChoosePrimary(now);
}

void FailoverProcedure::FenceMembers(steady_clock::time_point now) {
  for (const MemberId& id : this->entry.members) {
    const MemberAnnouncement* member =
        this->dependencies.context.FindMember(id);
    if (member == nullptr || this->fenced.count(id) > 0) continue;
    if (!this->command_pending.insert(id).second) continue;
    this->dependencies.command_sender.Start(
        now, MakeCommand(this->entry, member->info, MemberCommandKind::kFence),
        [this](steady_clock::time_point at, const MemberCommandResult& result) {
          this->OnFenceResult(at, result);
        });
  }
}

void FailoverProcedure::RequestLeaseReleases(steady_clock::time_point now) {
  const auto holders =
      this->dependencies.grantor.EarlierHolders(now, this->Stamp());
  for (const NodeId& holder : holders) {
    this->dependencies.context.hooks.send(
        holder, LeaseRelease{this->entry.database, this->entry.term});
  }
}

void FailoverProcedure::OnFenceResult(steady_clock::time_point now,
                                      const MemberCommandResult& result) {
  this->command_pending.erase(result.member);
  if (!result.answered) return;
  if (result.member_term > this->entry.term) {
    this->ProposeNextTerm(now, result.member_term,
                          "a member knows a higher term");
    return;
  }
  if (!result.accepted) return;
  const MemberAnnouncement* member =
      this->dependencies.context.FindMember(result.member);
  if (member == nullptr) return;
  const FencedMember answer{result.member, member->info.zone, result.position};
  this->fenced[result.member] = answer;
  if (this->entry.phase == TermPhase::kElecting) {
    this->TryChoosePrimary(now);
  } else if (this->promoted) {
    this->SendFollowCommands(now);
  }
}

void FailoverProcedure::TryChoosePrimary(steady_clock::time_point now) {
  if (this->entry.phase != TermPhase::kElecting) return;
  if (this->fenced.size() < this->entry.Majority()) return;
  const auto free_at =
      this->dependencies.grantor.EarlierLeasesExpireAt(this->Stamp());
  if (now < free_at) {
    this->next_round = std::min(this->next_round, free_at);
    return;
  }
  std::vector<FencedMember> candidates;
  for (const auto& item : this->fenced) candidates.push_back(item.second);
  const MemberAnnouncement* former =
      this->dependencies.context.FindMember(this->entry.former_primary);
  const FencedMember& chosen = ChooseAmongFenced(
      candidates, this->entry.former_primary,
      former == nullptr ? AvailabilityZone() : former->info.zone);
  this->Propose(
      now, DatabaseCommand{ChoosePrimary{this->entry.database, this->entry.term,
                                         chosen.id, chosen.position}});
}

void FailoverProcedure::Promote(steady_clock::time_point now) {
  this->promotion_deadline =
      now + this->dependencies.context.settings.promotion_timeout;
  const MemberAnnouncement* member =
      this->dependencies.context.FindMember(this->entry.primary);
  if (member == nullptr) return;
  this->dependencies.command_sender.Start(
      now, MakeCommand(this->entry, member->info, MemberCommandKind::kPromote),
      [this](steady_clock::time_point at, const MemberCommandResult& result) {
        this->OnPromoteResult(at, result);
      });
}

void FailoverProcedure::OnPromoteResult(steady_clock::time_point now,
                                        const MemberCommandResult& result) {
  if (!result.answered) return;
  if (!result.accepted) {
    this->ProposeNextTerm(now, result.member_term,
                          "the chosen primary refused");
    return;
  }
  this->promoted = true;
  this->in_term.insert(result.member);
  this->SendFollowCommands(now);
  this->TryConfirm(now);
}

void FailoverProcedure::SendFollowCommands(steady_clock::time_point now) {
  const MemberAnnouncement* primary =
      this->dependencies.context.FindMember(this->entry.primary);
  for (const MemberId& id : this->entry.members) {
    const MemberAnnouncement* member =
        this->dependencies.context.FindMember(id);
    if (member == nullptr || id == this->entry.primary) continue;
    if (this->in_term.count(id) > 0) continue;
    if (!this->command_pending.insert(id).second) continue;
    MemberCommand command =
        MakeCommand(this->entry, member->info, MemberCommandKind::kFollow);
    command.primary_log = primary->replication_endpoint;
    this->dependencies.command_sender.Start(
        now, command,
        [this](steady_clock::time_point at, const MemberCommandResult& result) {
          this->OnFollowResult(at, result);
        });
  }
}

void FailoverProcedure::OnFollowResult(steady_clock::time_point now,
                                       const MemberCommandResult& result) {
  this->command_pending.erase(result.member);
  if (!result.answered || !result.accepted) return;
  this->in_term.insert(result.member);
  const auto fence = this->fenced.find(result.member);
  if (fence != this->fenced.end()) this->RecordDroppedTail(fence->second);
  this->TryConfirm(now);
}

void FailoverProcedure::RecordDroppedTail(const FencedMember& member) {
  if (member.position <= this->entry.start) return;
  this->dependencies.context.hooks.events.record(
      Event{EventCode::kTailDropped,
            EventLevel::kWarning,
            {{"database", this->entry.database.Value()},
             {"member", member.id.Value()},
             {"term", std::to_string(member.position.term)},
             {"offset", std::to_string(member.position.offset)},
             {"kept_term", std::to_string(this->entry.start.term)},
             {"kept_offset", std::to_string(this->entry.start.offset)}}});
}

void FailoverProcedure::TryConfirm(steady_clock::time_point now) {
  if (this->entry.phase != TermPhase::kPromoting || !this->promoted) return;
  if (this->in_term.size() < this->entry.Majority()) return;
  this->Propose(
      now, DatabaseCommand{ConfirmPrimary{this->entry.database,
                                          this->entry.term, this->entry.term}});
}

void FailoverProcedure::ProposeNextTerm(steady_clock::time_point now,
                                        std::uint64_t higher_term,
                                        const char* reason) {
  const std::uint64_t next = std::max(higher_term, this->entry.term) + 1;
  this->Propose(
      now, DatabaseCommand{BeginTerm{this->entry.database, this->entry.term,
                                     next, reason}});
}

void FailoverProcedure::Propose(steady_clock::time_point now,
                                const DatabaseCommand& command) {
  if (now < this->next_proposal) return;
  this->next_proposal =
      now + this->dependencies.context.settings.proposal_retry_interval;
  this->dependencies.context.hooks.propose(now, command);
}

void FailoverProcedure::OnLeaseReleased(steady_clock::time_point now) {
  this->TryChoosePrimary(now);
}

void FailoverProcedure::OnTick(steady_clock::time_point now) {
  if (now < this->next_round) return;
  this->next_round = now + kRoundInterval;
  if (this->entry.phase == TermPhase::kElecting) {
    this->Elect(now);
    return;
  }
  if (this->promoted) {
    this->SendFollowCommands(now);
    this->TryConfirm(now);
  } else if (now >= this->promotion_deadline) {
    this->ProposeNextTerm(now, this->entry.term, "the promotion took too long");
  }
}

bool FailoverProcedure::Finished(steady_clock::time_point now) const {
  return this->entry.phase == TermPhase::kSteady &&
         (this->in_term.size() >= this->entry.members.size() ||
          now >= this->follow_deadline);
}

}  // namespace lacewingferry
