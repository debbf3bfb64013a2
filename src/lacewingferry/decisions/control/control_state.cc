#include "lacewingferry/decisions/control/control_state.h"

#include <utility>

namespace lacewingferry {

ControlOutcome ControlState::Apply(const ControlCommand& command,
                                   std::uint64_t index) {
  this->last_index = index;
  return this->ApplyCommand(command, index);
}

ControlOutcome ControlState::ApplyCommand(const ControlCommand& command,
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
  return this->ReplaceServices(std::get<ConfigurationSubmission>(command.body));
}

StateChange ControlState::ReplaceServices(
    const ConfigurationSubmission& submission) {
  if (submission.version <= this->services.version) return StateChange::kNone;
  this->services = submission;
  return StateChange::kChanged;
}

ControlSnapshot ControlState::TakeSnapshot() const {
  return ControlSnapshot{this->configuration.Current(), this->terms,
                         this->services, this->roster, this->last_index};
}

void ControlState::Restore(ControlSnapshot snapshot) {
  // The snapshot may be older than the current state; the later log entries are
  // then applied again. ConfigurationState::Restore rejects an older snapshot,
  // so it is called on an empty state.
  this->configuration = ConfigurationState();
  this->configuration.Restore(std::move(snapshot.configuration));
  this->terms = std::move(snapshot.terms);
  this->services = std::move(snapshot.services);
  this->roster = std::move(snapshot.roster);
  this->last_index = snapshot.index;
}

}  // namespace lacewingferry
