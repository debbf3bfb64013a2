#ifndef LACEWINGFERRY_CORE_DATABASE_TERM_H_
#define LACEWINGFERRY_CORE_DATABASE_TERM_H_

// Defines DatabaseTerm, what control has decided about one database.

#include <algorithm>
#include <cstdint>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** How far a term has come. */
enum class TermPhase : std::uint8_t {
  /** The members are being told the term; there is no primary. */
  kElecting = 0,
  /** The primary is chosen and has not confirmed its promotion. */
  kPromoting = 1,
  /** The primary leads. */
  kSteady = 2,
};

/** The term, the primary and the members of a database. */
struct DatabaseTerm {
  DatabaseId database;
  std::uint64_t term = 0;
  TermPhase phase = TermPhase::kSteady;
  /** The primary of the term; empty while electing. */
  MemberId primary;
  /** The primary of the term before; empty for the first. */
  MemberId former_primary;
  /** Where the primary's log stood when the term began; what other members
   * hold after it was never acknowledged. */
  LogPosition start;
  /** The members that count, by identity. */
  std::vector<MemberId> members;
  /** How many members the database has when whole; a majority is counted of
   * these, whether or not they are known or up. */
  std::uint32_t group_size = 0;
  std::uint64_t members_revision = 0;
  /** The revision of control's state at which this entry last changed. */
  std::uint64_t revision = 0;
  /** The run of the primary when it was chosen; 0 if that isn't known. */
  std::uint64_t primary_incarnation = 0;
  /** The last member that was confirmed as primary, and the term that it leads
   * by the members' own count; 0 if that isn't known. */
  MemberId leader;
  std::uint64_t leading_term = 0;

  /** The member that acknowledged commits last. */
  const MemberId& LastLeader() const {
    return this->leader.Empty() ? this->former_primary : this->leader;
  }

  /** The fewest members that are a majority. */
  std::uint32_t Majority() const { return this->group_size / 2 + 1; }

  /** Whether the database has as many members as it should, which are
   * wanted_size at the least. A removal makes it smaller for a while. */
  bool Whole(std::uint32_t wanted_size) const {
    return this->members.size() >= std::max(this->group_size, wanted_size);
  }

  bool HasMember(const MemberId& id) const {
    return std::find(this->members.begin(), this->members.end(), id) !=
           this->members.end();
  }

  static constexpr std::uint32_t kFirstFields = 10;
  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("term", self.term);
    visit("phase", self.phase);
    visit("primary", self.primary);
    visit("former_primary", self.former_primary);
    visit("start", self.start);
    visit("members", self.members);
    visit("group_size", self.group_size);
    visit("members_revision", self.members_revision);
    visit("revision", self.revision);
    visit("primary_incarnation", self.primary_incarnation);
    visit("leader", self.leader);
    visit("leading_term", self.leading_term);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_DATABASE_TERM_H_
