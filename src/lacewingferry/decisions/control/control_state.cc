#include "lacewingferry/decisions/control/control_state.h"

#include <utility>

namespace lacewingferry {

ControlOutcome ControlState::Apply(const ControlCommand& command,
                                   std::uint64_t index) {
  this->last_index = index;
  return this->Run(command, index);
}

ControlOutcome ControlState::Run(const ControlCommand& command,
                                 std::uint64_t index) {
  if (const auto* note = std::get_if<NoteSubmission>(&command.body)) {
    return this->configuration.Apply(*note, index);
  }
  if (const auto* database = std::get_if<DatabaseCommand>(&command.body)) {
    return this->terms.Apply(*database);
  }
  if (const auto* roster_change = std::get_if<RosterCommand>(&command.body)) {
    return this->roster.Apply(*roster_change) ? StateChange::kChanged
                                              : StateChange::kNone;
  }
  return this->Replace(std::get<ConfigurationSubmission>(command.body));
}

StateChange ControlState::Replace(const ConfigurationSubmission& submission) {
  if (submission.version <= this->services.version) return StateChange::kNone;
  this->services = submission;
  return StateChange::kChanged;
}

ControlSnapshot ControlState::TakeSnapshot() const {
  return ControlSnapshot{this->configuration.Current(), this->terms,
                         this->services, this->roster, this->last_index};
}

void ControlState::Restore(ControlSnapshot snapshot) {
  // A restore may also go back to an earlier state of this process, before
  // the log's later entries are applied again.
  this->configuration = ConfigurationState();
  this->configuration.Restore(std::move(snapshot.configuration));
  this->terms = std::move(snapshot.terms);
  this->services = std::move(snapshot.services);
  this->roster = std::move(snapshot.roster);
  this->last_index = snapshot.index;
}

}  // namespace lacewingferry
