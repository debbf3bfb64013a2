#ifndef LACEWINGFERRY_CORE_FLEET_COMMAND_H_
#define LACEWINGFERRY_CORE_FLEET_COMMAND_H_

// Defines the commands of the control log that replace the configuration of
// services and change the roster of members.

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** A whole configuration, kept as the operator sent it. */
struct ConfigurationSubmission {
  std::uint64_t version = 0;
  std::string document;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("version", self.version);
    visit("document", self.document);
  }
};

/** Enters a member into the roster, or replaces what it holds of it. */
struct EnterMember {
  MemberAnnouncement member;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("member", self.member);
  }
};

/** Takes a run of a member off the roster; a later run stays. */
struct LeaveMember {
  MemberId member;
  std::uint64_t incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("member", self.member);
    visit("incarnation", self.incarnation);
  }
};

/** A change of the roster. Logs number the alternatives by their order. */
struct RosterCommand {
  std::variant<EnterMember, LeaveMember> body;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("body", self.body);
  }
};

/** One run of a member. */
struct MemberRun {
  MemberId member;
  std::uint64_t incarnation = 0;

  friend bool operator==(const MemberRun& a, const MemberRun& b) {
    return a.member == b.member && a.incarnation == b.incarnation;
  }
  friend bool operator<(const MemberRun& a, const MemberRun& b) {
    return std::tie(a.member, a.incarnation) <
           std::tie(b.member, b.incarnation);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("member", self.member);
    visit("incarnation", self.incarnation);
  }
};

/** Records that the primary of a term held every commit that some ended runs
 * may have acknowledged: its log had reached the position when they had
 * ended. */
struct CoverEndedRuns {
  DatabaseId database;
  std::uint64_t term = 0;
  std::vector<MemberRun> runs;
  LogPosition position;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("term", self.term);
    visit("runs", self.runs);
    visit("position", self.position);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_FLEET_COMMAND_H_
