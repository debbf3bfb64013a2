#include "lacewingferry/decisions/failover/database_terms.h"

#include <algorithm>
#include <set>
#include <variant>

namespace lacewingferry {

ApplyResult DatabaseTerms::Apply(const DatabaseCommand& command) {
  return std::visit([this](const auto& body) { return this->ApplyBody(body); },
                    command.body);
}

const DatabaseTerm* DatabaseTerms::Find(const DatabaseId& database) const {
  const auto found = this->databases.find(database);
  return found == this->databases.end() ? nullptr : &found->second;
}

std::vector<DatabaseTerm> DatabaseTerms::ChangedSince(
    std::uint64_t since) const {
  std::vector<DatabaseTerm> changed;
  for (const auto& entry : this->databases) {
    if (entry.second.revision > since) changed.push_back(entry.second);
  }
  return changed;
}

ApplyResult DatabaseTerms::MarkChanged(DatabaseTerm& entry) {
  entry.revision = ++this->revision;
  return ApplyResult::kApplied;
}

std::size_t DatabaseTerms::WithoutPrimary() const {
  return static_cast<std::size_t>(std::count_if(
      this->databases.begin(), this->databases.end(), [](const auto& entry) {
        return entry.second.phase != TermPhase::kSteady;
      }));
}

DatabaseTerm* DatabaseTerms::FindInTerm(const DatabaseId& database,
                                        std::uint64_t term) {
  const auto found = this->databases.find(database);
  if (found == this->databases.end()) return nullptr;
  return found->second.term == term ? &found->second : nullptr;
}

ApplyResult DatabaseTerms::ApplyBody(const AdoptDatabase& adopt) {
  if (this->databases.count(adopt.database) > 0) {
    return ApplyResult::kAlreadyApplied;
  }
  const std::set<MemberId> distinct(adopt.members.begin(), adopt.members.end());
  const std::size_t majority = adopt.group_size / 2 + 1;
  if (distinct.size() != adopt.members.size() || distinct.size() < majority ||
      distinct.size() > adopt.group_size ||
      distinct.count(adopt.primary) == 0) {
    return ApplyResult::kInvalid;
  }
  DatabaseTerm entry;
  entry.database = adopt.database;
  entry.term = adopt.term;
  entry.primary = adopt.primary;
  entry.leader = adopt.primary;
  entry.leading_term = adopt.term;
  entry.members = adopt.members;
  entry.group_size = adopt.group_size;
  entry.members_revision = 1;
  return this->MarkChanged(this->databases[adopt.database] = entry);
}

ApplyResult DatabaseTerms::ApplyBody(const BeginTerm& begin) {
  DatabaseTerm* entry = this->FindInTerm(begin.database, begin.previous_term);
  if (entry == nullptr) return ApplyResult::kOutdated;
  if (begin.term <= begin.previous_term) return ApplyResult::kInvalid;
  if (!entry->primary.Empty()) entry->former_primary = entry->primary;
  entry->term = begin.term;
  entry->phase = TermPhase::kElecting;
  entry->primary = MemberId();
  return this->MarkChanged(*entry);
}

ApplyResult DatabaseTerms::ApplyBody(const ChoosePrimary& choose) {
  DatabaseTerm* entry = this->FindInTerm(choose.database, choose.term);
  if (entry == nullptr) return ApplyResult::kOutdated;
  if (entry->phase != TermPhase::kElecting) {
    return entry->primary == choose.primary ? ApplyResult::kAlreadyApplied
                                            : ApplyResult::kOutdated;
  }
  if (!entry->HasMember(choose.primary)) {
    if (!choose.joins) return ApplyResult::kInvalid;
    this->Enrol(*entry, choose.primary);
  }
  entry->phase = TermPhase::kPromoting;
  entry->primary = choose.primary;
  entry->primary_incarnation = choose.incarnation;
  entry->start = choose.position;
  return this->MarkChanged(*entry);
}

ApplyResult DatabaseTerms::ApplyBody(const ConfirmPrimary& confirm) {
  DatabaseTerm* entry = this->FindInTerm(confirm.database, confirm.term);
  if (entry == nullptr) return ApplyResult::kOutdated;
  if (entry->phase == TermPhase::kSteady) return ApplyResult::kAlreadyApplied;
  if (entry->phase != TermPhase::kPromoting) return ApplyResult::kInvalid;
  entry->phase = TermPhase::kSteady;
  entry->leader = entry->primary;
  entry->leading_term = confirm.member_term;
  return this->MarkChanged(*entry);
}

void DatabaseTerms::Enrol(DatabaseTerm& entry, const MemberId& member) {
  entry.members.push_back(member);
  entry.group_size = std::max(entry.group_size,
                              static_cast<std::uint32_t>(entry.members.size()));
  ++entry.members_revision;
}

ApplyResult DatabaseTerms::ApplyBody(const AddMember& add) {
  DatabaseTerm* entry = this->FindInTerm(add.database, add.term);
  if (entry == nullptr || entry->members_revision != add.members_revision) {
    return ApplyResult::kOutdated;
  }
  if (entry->HasMember(add.member)) return ApplyResult::kAlreadyApplied;
  if (entry->phase != TermPhase::kSteady) return ApplyResult::kInvalid;
  this->Enrol(*entry, add.member);
  return this->MarkChanged(*entry);
}

ApplyResult DatabaseTerms::ApplyBody(const RemoveMember& remove) {
  DatabaseTerm* entry = this->FindInTerm(remove.database, remove.term);
  if (entry == nullptr || entry->members_revision != remove.members_revision) {
    return ApplyResult::kOutdated;
  }
  const auto place =
      std::find(entry->members.begin(), entry->members.end(), remove.member);
  if (place == entry->members.end()) return ApplyResult::kAlreadyApplied;
  if (entry->phase != TermPhase::kSteady || remove.member == entry->primary) {
    return ApplyResult::kInvalid;
  }
  // Some members of the group may not be known yet, so the members left could
  // be fewer than a majority of the smaller group.
  const std::uint32_t smaller = entry->group_size - 1;
  if (entry->members.size() - 1 < smaller / 2 + 1) {
    return ApplyResult::kInvalid;
  }
  entry->members.erase(place);
  entry->group_size = smaller;
  ++entry->members_revision;
  return this->MarkChanged(*entry);
}

}  // namespace lacewingferry
