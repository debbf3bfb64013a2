#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_H_

// Defines Configuration, the whole state that control keeps of release notes:
// what is in force, what was withdrawn and the recent history.

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

/** The last generation of a withdrawn name. */
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

/** The withdrawn names of one kind of thing. */
template <typename Id>
struct WithdrawnNames {
  std::map<Id, Withdrawal> names;
  /** The highest generation of the withdrawals that are no longer kept by
   * name. A name that isn't kept is added with a generation above it. */
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
  /** When control received the note: UTC, since 1970-01-01. */
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

/** A note that changed nothing, with its answer. */
struct RejectedNote {
  ReleaseNote note;
  NoteAnswer answer;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("note", self.note);
    visit("answer", self.answer);
  }
};

/** The state that the control log's notes build. */
struct Configuration {
  /** The index of the last log entry that was applied. */
  std::uint64_t applied_index = 0;
  ConfigurationInForce in_force;
  WithdrawnNames<GroupId> withdrawn_groups;
  WithdrawnNames<GroupId> withdrawn_rules;
  WithdrawnNames<NodeId> withdrawn_proxies;
  /** The newest accepted notes, in the order of their revisions. */
  std::vector<HistoryEntry> history;
  /** The newest notes that changed nothing, in the order of their arrival. */
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
