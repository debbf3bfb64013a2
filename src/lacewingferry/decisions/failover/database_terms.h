#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_TERMS_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_TERMS_H_

// Defines DatabaseTerms, control's replicated state of the databases.

#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/database_command.h"
#include "lacewingferry/core/database_term.h"

namespace lacewingferry {

/** What became of a command. */
enum class CommandVerdict : std::uint8_t {
  kApplied = 0,
  /** The state that the command asks for was there already. */
  kRepeated = 1,
  /** The command was decided in another term or members revision. */
  kOutdated = 2,
  /** The command breaks a rule of the state. */
  kInvalid = 3,
};

/**
 * The term, primary and members of each database. All replicas of control
 * apply the same commands in the same order and so hold the same state; Apply
 * reads no clock and no random number.
 *
 * The rules that failover relies on:
 * - a term only rises, and begins without a primary;
 * - a term gets one primary at the most, one of its members;
 * - the members change by one at a time, in a term that has a primary.
 */
class DatabaseTerms {
 public:
  /** Applies a committed command. */
  CommandVerdict Apply(const DatabaseCommand& command);

  /** The entry of a database; nullptr before it is adopted. */
  const DatabaseTerm* Find(const DatabaseId& database) const;

  const std::map<DatabaseId, DatabaseTerm>& Databases() const {
    return this->databases;
  }

  /** Rises with each change. */
  std::uint64_t Revision() const { return this->revision; }

  /** The entries that changed after a revision. */
  std::vector<DatabaseTerm> ChangedSince(std::uint64_t since) const;

  /** Passes each field to visit, for the codec of snapshots. */
  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("revision", self.revision);
    visit("databases", self.databases);
  }

 private:
  CommandVerdict Run(const AdoptDatabase& adopt);
  CommandVerdict Run(const BeginTerm& begin);
  CommandVerdict Run(const ChoosePrimary& choose);
  CommandVerdict Run(const ConfirmPrimary& confirm);
  CommandVerdict Run(const AddMember& add);
  CommandVerdict Run(const RemoveMember& remove);
  DatabaseTerm* FindInTerm(const DatabaseId& database, std::uint64_t term);
  CommandVerdict Changed(DatabaseTerm& entry);

  std::uint64_t revision = 0;
  std::map<DatabaseId, DatabaseTerm> databases;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_DATABASE_TERMS_H_
