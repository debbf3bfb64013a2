#include "lacewingferry/decisions/failover/member_change_manager.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/failover/database_adoption.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** The members revision of a database that was just adopted. */
constexpr std::uint64_t kAdoptedRevision = 1;

DatabaseStamp StampOf(const DatabaseTerm& entry) {
  return DatabaseStamp{entry.database, entry.term, entry.members_revision};
}

DatabaseCommand CommandFor(const DatabaseTerm& entry,
                           const MemberChange& change) {
  if (change.lost.Empty()) {
    return {AddMember{entry.database, entry.term, entry.members_revision,
                      change.joining}};
  }
  return {RemoveMember{entry.database, entry.term, entry.members_revision,
                       change.lost}};
}

}  // namespace

MemberChangeManager::MemberChangeManager(
    const FailoverContext& failover_context, MemberCommandSender& sender,
    const LeaseGrantor& lease_grantor)
    : context(failover_context),
      command_sender(sender),
      grantor(lease_grantor) {}

void MemberChangeManager::OnLeadership(steady_clock::time_point now) {
  this->leader_since = now;
  this->next_adoption.clear();
  this->proofs.clear();
}

void MemberChangeManager::OnHeard(steady_clock::time_point now,
                                  const MemberInfo& member) {
  this->last_heard[member.database][member.id] = now;
}

void MemberChangeManager::Advance(steady_clock::time_point now,
                                  const DatabaseId& database) {
  const DatabaseTerm* entry = this->context.terms.Find(database);
  if (entry == nullptr) {
    this->Adopt(now, database);
    return;
  }
  const auto found = this->proofs.find(database);
  if (found != this->proofs.end()) {
    Proof& proof = found->second;
    if (now < proof.deadline && StampOf(proof.entry) == StampOf(*entry)) {
      this->RequestMissingReports(now, proof);
      return;
    }
    this->proofs.erase(found);
  }
  if (now >= this->grantor.EarlierLeasesExpireAt(StampOf(*entry)))
    this->Begin(now, *entry);
}

void MemberChangeManager::Adopt(steady_clock::time_point now,
                                const DatabaseId& database) {
  auto& next = this->next_adoption[database];
  if (now < next) return;
  std::vector<MemberAnnouncement> members;
  for (const auto& item : this->last_heard[database]) {
    members.push_back(*this->context.FindMember(item.first));
  }
  const auto command = NextAdoption(members, this->context.settings.group_size);
  if (!command) return;
  next = now + this->context.settings.proposal_retry_interval;
  this->context.hooks.propose(now, *command);
}

std::vector<MemberLiveness> MemberChangeManager::Liveness(
    steady_clock::time_point now, const DatabaseTerm& entry) const {
  std::map<MemberId, steady_clock::time_point> heard_at;
  for (const MemberId& id : entry.members) heard_at[id] = this->leader_since;
  const auto known = this->last_heard.find(entry.database);
  if (known != this->last_heard.end()) {
    for (const auto& item : known->second) {
      heard_at[item.first] = std::max(item.second, this->leader_since);
    }
  }
  std::vector<MemberLiveness> members;
  for (const auto& item : heard_at) {
    MemberLiveness member;
    const MemberAnnouncement* announcement =
        this->context.FindMember(item.first);
    if (announcement != nullptr) member.announcement = *announcement;
    member.announcement.info.id = item.first;
    member.silent_for = now - item.second;
    members.push_back(std::move(member));
  }
  return members;
}

bool MemberChangeManager::NeedsMember(steady_clock::time_point now,
                                      const DatabaseTerm& entry) const {
  const FailoverSettings& settings = this->context.settings;
  return !entry.Whole(settings.group_size) ||
         FindLostMember(entry, this->Liveness(now, entry),
                        settings.member_lost_after) != nullptr;
}

void MemberChangeManager::Begin(steady_clock::time_point now,
                                const DatabaseTerm& entry) {
  const FailoverSettings& settings = this->context.settings;
  const auto change =
      NextMemberChange(entry, this->Liveness(now, entry), settings.group_size,
                       settings.member_lost_after);
  if (!change) return;
  Proof& proof = this->proofs[entry.database];
  proof = Proof{};
  proof.id = this->next_id++;
  proof.entry = entry;
  proof.change = *change;
  proof.deadline = now + settings.member_change_timeout;
  // No writes were acknowledged by an earlier set of members than the adopted
  // one. If the primary fails this early, it can be replaced only with the
  // members that are still missing, so they are added without a proof.
  if (entry.members_revision == kAdoptedRevision && change->lost.Empty()) {
    this->Propose(now, proof);
    return;
  }
  // A member that answers is not lost, even if its announcements don't arrive.
  if (!change->lost.Empty()) this->RequestReport(now, proof, change->lost);
  this->RequestMissingReports(now, proof);
}

void MemberChangeManager::RequestMissingReports(steady_clock::time_point now,
                                                Proof& proof) {
  if (proof.proposed) return;
  if (!proof.log_end) {
    this->RequestReport(now, proof, proof.entry.primary);
    return;
  }
  this->RequestReport(now, proof, proof.change.joining);
  for (const MemberId& id : proof.entry.members) {
    if (id != proof.change.lost) this->RequestReport(now, proof, id);
  }
  this->ProposeIfSafe(now, proof);
}

void MemberChangeManager::RequestReport(steady_clock::time_point now,
                                        Proof& proof, const MemberId& member) {
  const MemberAnnouncement* known = this->context.FindMember(member);
  if (known == nullptr || proof.in_sync.count(member) > 0) return;
  if (!proof.reports_requested.insert(member).second) return;
  MemberCommand command;
  command.database = proof.entry.database;
  command.member = known->info;
  command.kind = MemberCommandKind::kReport;
  command.term = proof.entry.term;
  this->command_sender.Start(
      now, std::move(command),
      [this, id = proof.id](steady_clock::time_point at,
                            const MemberCommandResult& report) {
        this->OnReport(at, id, report);
      });
}

void MemberChangeManager::OnReport(steady_clock::time_point now,
                                   std::uint64_t id,
                                   const MemberCommandResult& report) {
  const auto found = this->proofs.find(report.database);
  if (found == this->proofs.end() || found->second.id != id) return;
  Proof& proof = found->second;
  proof.reports_requested.erase(report.member);
  if (!report.answered) return;
  if (report.member == proof.change.lost) {
    this->last_heard[report.database][report.member] = now;
    this->proofs.erase(found);
    return;
  }
  if (report.member_term != proof.entry.term ||
      report.position.term != proof.entry.term) {
    return;
  }
  if (!proof.log_end) {
    if (report.member != proof.entry.primary) return;
    proof.log_end = report.position;
    proof.in_sync.insert(report.member);
    this->RequestMissingReports(now, proof);
  } else if (report.position >= *proof.log_end) {
    proof.in_sync.insert(report.member);
    this->ProposeIfSafe(now, proof);
  }
}

void MemberChangeManager::ProposeIfSafe(steady_clock::time_point now,
                                        Proof& proof) {
  if (proof.proposed || proof.in_sync.count(proof.change.joining) == 0) return;
  const auto in_sync_members = static_cast<std::uint32_t>(std::count_if(
      proof.in_sync.begin(), proof.in_sync.end(),
      [&proof](const MemberId& id) { return proof.entry.HasMember(id); }));
  if (in_sync_members >= proof.entry.Majority()) this->Propose(now, proof);
}

void MemberChangeManager::Propose(steady_clock::time_point now, Proof& proof) {
  proof.proposed = true;
  proof.deadline = now + this->context.settings.proposal_retry_interval;
  this->context.hooks.propose(now, CommandFor(proof.entry, proof.change));
}

}  // namespace lacewingferry
