#include "lacewingferry/decisions/failover/database_terms.h"

#include <algorithm>
#include <set>
#include <variant>

namespace lacewingferry {

CommandVerdict DatabaseTerms::Apply(const DatabaseCommand& command) {
  return std::visit([this](const auto& body) { return this->Run(body); },
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

CommandVerdict DatabaseTerms::Changed(DatabaseTerm& entry) {
  entry.revision = ++this->revision;
  return CommandVerdict::kApplied;
}

DatabaseTerm* DatabaseTerms::FindInTerm(const DatabaseId& database,
                                        std::uint64_t term) {
  const auto found = this->databases.find(database);
  if (found == this->databases.end()) return nullptr;
  return found->second.term == term ? &found->second : nullptr;
}

CommandVerdict DatabaseTerms::Run(const AdoptDatabase& adopt) {
  if (this->databases.count(adopt.database) > 0) {
    return CommandVerdict::kRepeated;
  }
  const std::set<MemberId> distinct(adopt.members.begin(), adopt.members.end());
  const std::size_t majority = adopt.group_size / 2 + 1;
  if (distinct.size() != adopt.members.size() || distinct.size() < majority ||
      distinct.size() > adopt.group_size ||
      distinct.count(adopt.primary) == 0) {
    return CommandVerdict::kInvalid;
  }
  DatabaseTerm entry;
  entry.database = adopt.database;
  entry.term = adopt.term;
  entry.primary = adopt.primary;
  entry.members = adopt.members;
  entry.group_size = adopt.group_size;
  entry.members_revision = 1;
  return this->Changed(this->databases[adopt.database] = entry);
}

CommandVerdict DatabaseTerms::Run(const BeginTerm& begin) {
  DatabaseTerm* entry = this->FindInTerm(begin.database, begin.previous_term);
  if (entry == nullptr) return CommandVerdict::kOutdated;
  if (begin.term <= begin.previous_term) return CommandVerdict::kInvalid;
  if (!entry->primary.Empty()) entry->former_primary = entry->primary;
  entry->term = begin.term;
  entry->phase = TermPhase::kElecting;
  entry->primary = MemberId();
  return this->Changed(*entry);
}

CommandVerdict DatabaseTerms::Run(const ChoosePrimary& choose) {
  DatabaseTerm* entry = this->FindInTerm(choose.database, choose.term);
  if (entry == nullptr) return CommandVerdict::kOutdated;
  if (entry->phase != TermPhase::kElecting) {
    return entry->primary == choose.primary ? CommandVerdict::kRepeated
                                            : CommandVerdict::kOutdated;
  }
  if (!entry->HasMember(choose.primary)) return CommandVerdict::kInvalid;
  entry->phase = TermPhase::kPromoting;
  entry->primary = choose.primary;
  entry->start = choose.position;
  return this->Changed(*entry);
}

CommandVerdict DatabaseTerms::Run(const ConfirmPrimary& confirm) {
  DatabaseTerm* entry = this->FindInTerm(confirm.database, confirm.term);
  if (entry == nullptr) return CommandVerdict::kOutdated;
  if (entry->phase == TermPhase::kSteady) return CommandVerdict::kRepeated;
  if (entry->phase != TermPhase::kPromoting) return CommandVerdict::kInvalid;
  entry->phase = TermPhase::kSteady;
  return this->Changed(*entry);
}

CommandVerdict DatabaseTerms::Run(const AddMember& add) {
  DatabaseTerm* entry = this->FindInTerm(add.database, add.term);
  if (entry == nullptr || entry->members_revision != add.members_revision) {
    return CommandVerdict::kOutdated;
  }
  if (entry->HasMember(add.member)) return CommandVerdict::kRepeated;
  if (entry->phase != TermPhase::kSteady) return CommandVerdict::kInvalid;
  entry->members.push_back(add.member);
  entry->group_size = std::max(
      entry->group_size, static_cast<std::uint32_t>(entry->members.size()));
  ++entry->members_revision;
  return this->Changed(*entry);
}

CommandVerdict DatabaseTerms::Run(const RemoveMember& remove) {
  DatabaseTerm* entry = this->FindInTerm(remove.database, remove.term);
  if (entry == nullptr || entry->members_revision != remove.members_revision) {
    return CommandVerdict::kOutdated;
  }
  const auto place =
      std::find(entry->members.begin(), entry->members.end(), remove.member);
  if (place == entry->members.end()) return CommandVerdict::kRepeated;
  if (entry->phase != TermPhase::kSteady || remove.member == entry->primary) {
    return CommandVerdict::kInvalid;
  }
  // While members of the group are unknown, those that are left could fall
  // short of the smaller group's majority.
  const std::uint32_t smaller = entry->group_size - 1;
  if (entry->members.size() - 1 < smaller / 2 + 1) {
    return CommandVerdict::kInvalid;
  }
  entry->members.erase(place);
  entry->group_size = smaller;
  ++entry->members_revision;
  return this->Changed(*entry);
}

}  // namespace lacewingferry
