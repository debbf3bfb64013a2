#ifndef LACEWINGFERRY_DECISIONS_CONTROL_CONTROL_STATE_H_
#define LACEWINGFERRY_DECISIONS_CONTROL_CONTROL_STATE_H_

// Defines ControlState, everything that the control log decides: the
// configuration in force, the terms of the databases and the roster of members.

#include <cstdint>
#include <variant>

#include "lacewingferry/core/control_command.h"
#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/decisions/configuration/configuration_state.h"
#include "lacewingferry/decisions/failover/database_terms.h"
#include "lacewingferry/decisions/roster/roster.h"

namespace lacewingferry {

/** Whether a command changed anything. */
enum class StateChange : std::uint8_t { kNone, kChanged };

/** What became of a command: a note's answer, a term command's verdict, or
 * whether the configuration or the roster changed. */
using ControlOutcome = std::variant<NoteAnswer, ApplyResult, StateChange>;

/** A copy of the state, for the snapshots of the control log. */
struct ControlSnapshot {
  Configuration configuration;
  DatabaseTerms terms;
  ConfigurationSubmission services;
  Roster roster;
  /** The last command that the state holds. */
  std::uint64_t index = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("configuration", self.configuration);
    visit("terms", self.terms);
    visit("services", self.services);
    visit("roster", self.roster);
    visit("index", self.index);
  }
};

/** The state machine of the control log. Replicas that apply the same commands
 * in the same order hold the same state. */
class ControlState {
 public:
  /** Applies the command of a committed entry. */
  ControlOutcome Apply(const ControlCommand& command, std::uint64_t index);

  /** The state as it is. */
  ControlSnapshot TakeSnapshot() const;

  /** Replaces the state. */
  void Restore(ControlSnapshot snapshot);

  const Configuration& CurrentConfiguration() const {
    return this->configuration.Current();
  }

  /** Stays at the same address for the life of this object. */
  const DatabaseTerms& Terms() const { return this->terms; }

  /** The newest configuration of services; version 0 before the first. */
  const ConfigurationSubmission& Services() const { return this->services; }

  const Roster& Members() const { return this->roster; }

  /** The index of the last command that was applied. */
  std::uint64_t LastIndex() const { return this->last_index; }

 private:
  ControlOutcome Run(const ControlCommand& command, std::uint64_t index);
  StateChange Replace(const ConfigurationSubmission& submission);

  ConfigurationState configuration;
  DatabaseTerms terms;
  ConfigurationSubmission services;
  Roster roster;
  std::uint64_t last_index = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONTROL_CONTROL_STATE_H_
