#ifndef LACEWINGFERRY_CORE_DATABASE_COMMAND_H_
#define LACEWINGFERRY_CORE_DATABASE_COMMAND_H_

// Defines DatabaseCommand, a change of control's replicated state of
// databases. Each names the term that it was decided in and is refused in any
// other.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** Takes a database into control's care with the primary that it has. */
struct AdoptDatabase {
  DatabaseId database;
  std::uint64_t term = 0;
  MemberId primary;
  std::vector<MemberId> members;
  std::uint32_t group_size = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("term", self.term);
    visit("primary", self.primary);
    visit("members", self.members);
    visit("group_size", self.group_size);
  }
};

/** Ends the term before and its primary. */
struct BeginTerm {
  DatabaseId database;
  std::uint64_t previous_term = 0;
  std::uint64_t term = 0;
  std::string reason;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("previous_term", self.previous_term);
    visit("term", self.term);
    visit("reason", self.reason);
  }
};

/** Makes a member the primary of a term that has none. */
struct ChoosePrimary {
  DatabaseId database;
  std::uint64_t term = 0;
  MemberId primary;
  /** Where the member's log stood when it was fenced. */
  LogPosition position;
  /** The run of the member that was asked; 0 if runs aren't told apart. */
  std::uint64_t incarnation = 0;
  /** Adds the member to those that count if it isn't one of them: a primary
   * that came back under another ID with its log. */
  bool joins = false;

  static constexpr std::uint32_t kFirstFields = 4;
  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("term", self.term);
    visit("primary", self.primary);
    visit("position", self.position);
    visit("incarnation", self.incarnation);
    visit("joins", self.joins);
  }
};

/** Records that the chosen primary was promoted. */
struct ConfirmPrimary {
  DatabaseId database;
  std::uint64_t term = 0;
  /** The term that it leads by the members' own count. */
  std::uint64_t member_term = 0;

  static constexpr std::uint32_t kFirstFields = 2;
  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("term", self.term);
    visit("member_term", self.member_term);
  }
};

/** Adds one member to those that count. A database that was not whole stays
 * of the same size; else its size grows by one. */
struct AddMember {
  DatabaseId database;
  std::uint64_t term = 0;
  std::uint64_t members_revision = 0;
  MemberId member;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("term", self.term);
    visit("members_revision", self.members_revision);
    visit("member", self.member);
  }
};

/** Removes one member, not the primary; the size shrinks by one. */
struct RemoveMember {
  DatabaseId database;
  std::uint64_t term = 0;
  std::uint64_t members_revision = 0;
  MemberId member;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("term", self.term);
    visit("members_revision", self.members_revision);
    visit("member", self.member);
  }
};

/** The commands. Logs number them by their order: add new ones at the end. */
using DatabaseCommandBody =
    std::variant<AdoptDatabase, BeginTerm, ChoosePrimary, ConfirmPrimary,
                 AddMember, RemoveMember>;

/** A command as an entry of the control log. */
struct DatabaseCommand {
  DatabaseCommandBody body;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("body", self.body);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_DATABASE_COMMAND_H_
