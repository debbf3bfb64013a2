#include "lacewingferry/decisions/control/control_state.h"

#include <utility>

namespace lacewingferry {

ControlOutcome ControlState::Apply(const ControlCommand& command,
                                   std::uint64_t index) {
  if (const auto* note = std::get_if<NoteSubmission>(&command.body)) {
    return this->configuration.Apply(*note, index);
  }
  return this->terms.Apply(std::get<DatabaseCommand>(command.body));
}

ControlSnapshot ControlState::TakeSnapshot() const {
  return ControlSnapshot{this->configuration.Current(), this->terms};
}

void ControlState::Restore(ControlSnapshot snapshot) {
  // A restore may also go back to an earlier state of this process, before
  // the log's later entries are applied again.
  this->configuration = ConfigurationState();
  this->configuration.Restore(std::move(snapshot.configuration));
  this->terms = std::move(snapshot.terms);
}

}  // namespace lacewingferry
