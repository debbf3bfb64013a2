#ifndef LACEWINGFERRY_DECISIONS_CONTROL_CONTROL_STATE_H_
#define LACEWINGFERRY_DECISIONS_CONTROL_CONTROL_STATE_H_

// Defines ControlState, the state that the control log determines: the
// configurations, the terms of the databases and the roster of members.

#include <cstdint>
#include <variant>

#include "lacewingferry/core/control_command.h"
#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/decisions/configuration/configuration_state.h"
#include "lacewingferry/decisions/failover/database_terms.h"
#include "lacewingferry/decisions/roster/ended_runs.h"
#include "lacewingferry/decisions/roster/roster.h"

namespace lacewingferry {

/** Whether a command changed anything. */
enum class StateChange : std::uint8_t { kNone, kChanged };

/** The result of applying a command: the answer to a release note, the verdict
 * on a term command, or whether the services or the roster changed. */
using ControlOutcome = std::variant<NoteAnswer, ApplyResult, StateChange>;

/** A copy of the state, for snapshots of the control log. */
struct ControlSnapshot {
  Configuration configuration;
  DatabaseTerms terms;
  ConfigurationSubmission services;
  Roster roster;
  /** The log index of the last applied command. */
  std::uint64_t index = 0;
  EndedRuns ended_runs;

  static constexpr std::uint32_t kFirstFields = 5;
  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("configuration", self.configuration);
    visit("terms", self.terms);
    visit("services", self.services);
    visit("roster", self.roster);
    visit("index", self.index);
    visit("ended_runs", self.ended_runs);
  }
};

/** The state machine of the control log. Replicas that apply the same commands
 * in the same order hold the same state. */
class ControlState {
 public:
  /** Applies the command of the committed log entry at the index. */
  ControlOutcome Apply(const ControlCommand& command, std::uint64_t index);

  ControlSnapshot TakeSnapshot() const;

  /** Replaces the state, also by an older one. */
  void Restore(ControlSnapshot snapshot);

  const Configuration& CurrentConfiguration() const {
    return this->configuration.Current();
  }

  /** The returned reference stays valid for the lifetime of this object. */
  const DatabaseTerms& Terms() const { return this->terms; }

  /** The latest configuration of services; version 0 before the first one. */
  const ConfigurationSubmission& Services() const { return this->services; }

  const Roster& CurrentRoster() const { return this->roster; }

  /** The members' runs that ended and may have acknowledged commits. */
  const EndedRuns& Ended() const { return this->ended_runs; }

  /** The log index of the last applied command. */
  std::uint64_t LastIndex() const { return this->last_index; }

 private:
  ControlOutcome ApplyCommand(const ControlCommand& command,
                              std::uint64_t index);
  ApplyResult ApplyTerm(const DatabaseCommand& command);
  StateChange ApplyRoster(const RosterCommand& command);
  StateChange ReplaceServices(const ConfigurationSubmission& submission);

  ConfigurationState configuration;
  DatabaseTerms terms;
  ConfigurationSubmission services;
  Roster roster;
  EndedRuns ended_runs;
  std::uint64_t last_index = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONTROL_CONTROL_STATE_H_
