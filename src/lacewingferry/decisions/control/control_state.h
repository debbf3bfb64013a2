#ifndef LACEWINGFERRY_DECISIONS_CONTROL_CONTROL_STATE_H_
#define LACEWINGFERRY_DECISIONS_CONTROL_CONTROL_STATE_H_

// Defines ControlState, everything that the control log decides: the
// configuration in force and the terms of the databases.

#include <cstdint>
#include <variant>

#include "lacewingferry/core/control_command.h"
#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/decisions/configuration/configuration_state.h"
#include "lacewingferry/decisions/failover/database_terms.h"

namespace lacewingferry {

/** What became of a command: a note's answer or a term command's verdict. */
using ControlOutcome = std::variant<NoteAnswer, CommandVerdict>;

/** A copy of the state, for the snapshots of the control log. */
struct ControlSnapshot {
  Configuration configuration;
  DatabaseTerms terms;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("configuration", self.configuration);
    visit("terms", self.terms);
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

 private:
  ConfigurationState configuration;
  DatabaseTerms terms;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONTROL_CONTROL_STATE_H_
