#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_TERMS_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_TERMS_H_

// Defines DatabaseTerms, the control service's replicated state of databases.

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/database_command.h"
#include "lacewingferry/core/database_term.h"

namespace lacewingferry {

/** The result of applying a command. */
enum class ApplyResult : std::uint8_t {
  kApplied = 0,
  /** The database already was in the state that the command asks for. */
  kAlreadyApplied = 1,
  /** The command was made for another term or members revision. */
  kOutdated = 2,
  /** The command isn't allowed in the current state. */
  kInvalid = 3,
};

/**
 * The term, primary and members of each database. All control replicas apply
 * the same commands in the same order and so hold the same state; Apply is
 * deterministic and reads no clock and no random number.
 *
 * The rules that failover relies on:
 * - the term only rises, and a new term begins without a primary;
 * - a term gets at most one primary, which is one of its members;
 * - members change one at a time, in a term that has a confirmed primary.
 */
class DatabaseTerms {
 public:
  /** Applies a committed command. */
  ApplyResult Apply(const DatabaseCommand& command);

  /** The entry of a database; nullptr before it is adopted. */
  const DatabaseTerm* Find(const DatabaseId& database) const;

  const std::map<DatabaseId, DatabaseTerm>& Databases() const {
    return this->databases;
  }

  /** How many databases are in a term that has no confirmed primary. */
  std::size_t WithoutPrimary() const;

  /** Increases with each change. */
  std::uint64_t Revision() const { return this->revision; }

  /** The entries that changed after a revision. */
  std::vector<DatabaseTerm> ChangedSince(std::uint64_t since) const;

  /** Passes each field to visit, to encode and decode snapshots. */
  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("revision", self.revision);
    visit("databases", self.databases);
  }

 private:
  ApplyResult ApplyBody(const AdoptDatabase& adopt);
  ApplyResult ApplyBody(const BeginTerm& begin);
  ApplyResult ApplyBody(const ChoosePrimary& choose);
  ApplyResult ApplyBody(const ConfirmPrimary& confirm);
  ApplyResult ApplyBody(const AddMember& add);
  ApplyResult ApplyBody(const RemoveMember& remove);
  DatabaseTerm* FindInTerm(const DatabaseId& database, std::uint64_t term);
  ApplyResult MarkChanged(DatabaseTerm& entry);
  /** Adds a member to those that count. */
  static void Enrol(DatabaseTerm& entry, const MemberId& member);

  std::uint64_t revision = 0;
  std::map<DatabaseId, DatabaseTerm> databases;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_TERMS_H_
