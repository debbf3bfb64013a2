#include "lacewingferry/decisions/failover/member_changes.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/failover/member_admission.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** The revision of the members that a database was adopted with. */
constexpr std::uint64_t kAdopted = 1;

DatabaseStamp StampOf(const DatabaseTerm& entry) {
  return DatabaseStamp{entry.database, entry.term, entry.members_revision};
}

DatabaseCommand CommandFor(const DatabaseTerm& entry,
                           const MemberChange& change) {
  if (change.lost.Empty()) {
    return {AddMember{entry.database, entry.term, entry.members_revision,
                      change.newcomer}};
  }
  return {RemoveMember{entry.database, entry.term, entry.members_revision,
                       change.lost}};
}

}  // namespace

MemberChanges::MemberChanges(const FailoverContext& failover_context,
                             MemberCommander& member_commander,
                             const LeaseGrantor& lease_grantor)
    : context(failover_context),
      commander(member_commander),
      grantor(lease_grantor) {}

void MemberChanges::OnLeadership(steady_clock::time_point now) {
  this->in_office_since = now;
  this->next_adoption.clear();
  this->proofs.clear();
}

void MemberChanges::OnHeard(steady_clock::time_point now,
                            const MemberInfo& member) {
  this->heard[member.database][member.id] = now;
}

void MemberChanges::Consider(steady_clock::time_point now,
                             const DatabaseId& database) {
  const DatabaseTerm* entry = this->context.terms.Find(database);
  if (entry == nullptr) {
    this->Adopt(now, database);
    return;
  }
  const auto found = this->proofs.find(database);
  if (found != this->proofs.end()) {
    Proof& proof = found->second;
    if (now < proof.limit && StampOf(proof.entry) == StampOf(*entry)) {
      this->AskMissing(now, proof);
      return;
    }
    this->proofs.erase(found);
  }
  if (now >= this->grantor.EarlierLeasesExpireAt(StampOf(*entry)))
    this->Begin(now, *entry);
}

void MemberChanges::Adopt(steady_clock::time_point now,
                          const DatabaseId& database) {
  auto& next = this->next_adoption[database];
  if (now < next) return;
  std::vector<MemberAnnouncement> members;
  for (const auto& item : this->heard[database]) {
    members.push_back(*this->context.FindMember(item.first));
  }
  const auto command = NextAdoption(members, this->context.settings.group_size);
  if (!command) return;
  next = now + this->context.settings.proposal_retry;
  this->context.hooks.propose(now, *command);
}

std::vector<HeardMember> MemberChanges::Heard(steady_clock::time_point now,
                                              const DatabaseTerm& entry) const {
  std::map<MemberId, steady_clock::time_point> times;
  for (const MemberId& id : entry.members) times[id] = this->in_office_since;
  const auto known = this->heard.find(entry.database);
  if (known != this->heard.end()) {
    for (const auto& item : known->second) {
      times[item.first] = std::max(item.second, this->in_office_since);
    }
  }
  std::vector<HeardMember> members;
  for (const auto& item : times) {
    HeardMember member;
    const MemberAnnouncement* said = this->context.FindMember(item.first);
    if (said != nullptr) member.announcement = *said;
    member.announcement.info.id = item.first;
    member.silent_for = now - item.second;
    members.push_back(std::move(member));
  }
  return members;
}

bool MemberChanges::HasRoom(steady_clock::time_point now,
                            const DatabaseTerm& entry) const {
  const FailoverSettings& settings = this->context.settings;
  return !entry.Whole(settings.group_size) ||
         FindLostMember(entry, this->Heard(now, entry),
                        settings.member_lost_after) != nullptr;
}

void MemberChanges::Begin(steady_clock::time_point now,
                          const DatabaseTerm& entry) {
  const FailoverSettings& settings = this->context.settings;
  const auto change =
      NextMemberChange(entry, this->Heard(now, entry), settings.group_size,
                       settings.member_lost_after);
  if (!change) return;
  Proof& proof = this->proofs[entry.database];
  proof = Proof{};
  proof.number = this->next_number++;
  proof.entry = entry;
  proof.change = *change;
  proof.limit = now + settings.member_proof_limit;
  // Nobody acknowledged by members before those of the adoption, and a primary
  // that fell this early can be replaced only with the members still missing.
  if (entry.members_revision == kAdopted && change->lost.Empty()) {
    this->Propose(now, proof);
    return;
  }
  // A member that answers is not lost, whatever its announcements do.
  if (!change->lost.Empty()) this->Ask(now, proof, change->lost);
  this->AskMissing(now, proof);
}

void MemberChanges::AskMissing(steady_clock::time_point now, Proof& proof) {
  if (proof.proposed) return;
  if (!proof.end) {
    this->Ask(now, proof, proof.entry.primary);
    return;
  }
  this->Ask(now, proof, proof.change.newcomer);
  for (const MemberId& id : proof.entry.members) {
    if (id != proof.change.lost) this->Ask(now, proof, id);
  }
  this->ProposeIfProven(now, proof);
}

void MemberChanges::Ask(steady_clock::time_point now, Proof& proof,
                        const MemberId& member) {
  const MemberAnnouncement* known = this->context.FindMember(member);
  if (known == nullptr || proof.holders.count(member) > 0) return;
  if (!proof.asked.insert(member).second) return;
  MemberCommand command;
  command.database = proof.entry.database;
  command.member = known->info;
  command.kind = MemberCommandKind::kReport;
  command.term = proof.entry.term;
  this->commander.Start(
      now, std::move(command),
      [this, number = proof.number](steady_clock::time_point at,
                                    const MemberCommandResult& report) {
        this->OnReport(at, number, report);
      });
}

void MemberChanges::OnReport(steady_clock::time_point now, std::uint64_t number,
                             const MemberCommandResult& report) {
  const auto found = this->proofs.find(report.database);
  if (found == this->proofs.end() || found->second.number != number) return;
  Proof& proof = found->second;
  proof.asked.erase(report.member);
  if (!report.answered) return;
  if (report.member == proof.change.lost) {
    this->heard[report.database][report.member] = now;
    this->proofs.erase(found);
    return;
  }
  if (report.member_term != proof.entry.term ||
      report.position.term != proof.entry.term) {
    return;
  }
  if (!proof.end) {
    if (report.member != proof.entry.primary) return;
    proof.end = report.position;
    proof.holders.insert(report.member);
    this->AskMissing(now, proof);
  } else if (report.position >= *proof.end) {
    proof.holders.insert(report.member);
    this->ProposeIfProven(now, proof);
  }
}

void MemberChanges::ProposeIfProven(steady_clock::time_point now,
                                    Proof& proof) {
  if (proof.proposed || proof.holders.count(proof.change.newcomer) == 0) return;
  const auto holding = static_cast<std::uint32_t>(std::count_if(
      proof.holders.begin(), proof.holders.end(),
      [&proof](const MemberId& id) { return proof.entry.HasMember(id); }));
  if (holding >= proof.entry.Majority()) this->Propose(now, proof);
}

void MemberChanges::Propose(steady_clock::time_point now, Proof& proof) {
  proof.proposed = true;
  proof.limit = now + this->context.settings.proposal_retry;
  this->context.hooks.propose(now, CommandFor(proof.entry, proof.change));
}

}  // namespace lacewingferry
