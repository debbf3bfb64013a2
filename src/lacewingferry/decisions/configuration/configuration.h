#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_H_

// Defines Configuration, the state that control builds from release notes: the
// configuration in force, the withdrawn names and the recent history.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** When a name was withdrawn and its last generation. */
struct Withdrawal {
  std::uint32_t generation = 0;
  /** The revision at which the name was withdrawn. */
  std::uint64_t revision = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("generation", self.generation);
    visit("revision", self.revision);
  }
};

/** The withdrawn names of one kind of item. */
template <typename Id>
struct WithdrawnNames {
  std::map<Id, Withdrawal> names;
  /** The highest generation of the withdrawals that were dropped from `names`.
   * A name that is not in `names` must be added with the next generation after
   * this one, so that it never reuses an earlier generation. */
  std::uint32_t forgotten_generation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("names", self.names);
    visit("forgotten_generation", self.forgotten_generation);
  }
};

/** An accepted note. */
struct HistoryEntry {
  std::uint64_t revision = 0;
  ReleaseNote note;
  /** When control received the note: time since 1970-01-01 UTC. */
  std::chrono::microseconds received_at{0};
  /** The operator who sent the note. */
  std::string sender;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("revision", self.revision);
    visit("note", self.note);
    visit("received_at", self.received_at);
    visit("sender", self.sender);
  }
};

/** A note that was refused or in conflict and so changed nothing, with the
 * answer to it. */
struct RejectedNote {
  ReleaseNote note;
  NoteAnswer answer;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("note", self.note);
    visit("answer", self.answer);
  }
};

/** The state after all applied notes of the control log. */
struct Configuration {
  /** The index of the last log entry that was applied. */
  std::uint64_t applied_index = 0;
  ConfigurationInForce in_force;
  WithdrawnNames<GroupId> withdrawn_groups;
  WithdrawnNames<GroupId> withdrawn_rules;
  WithdrawnNames<NodeId> withdrawn_proxies;
  /** The newest accepted notes, in the order of their revisions. */
  std::vector<HistoryEntry> history;
  /** The newest rejected notes, in the order of their arrival. */
  std::vector<RejectedNote> rejected;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("applied_index", self.applied_index);
    visit("in_force", self.in_force);
    visit("withdrawn_groups", self.withdrawn_groups);
    visit("withdrawn_rules", self.withdrawn_rules);
    visit("withdrawn_proxies", self.withdrawn_proxies);
    visit("history", self.history);
    visit("rejected", self.rejected);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_H_
