#include "lacewingferry/decisions/configuration/configuration_state.h"

#include <utility>

#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/configuration/note_application.h"
#include "lacewingferry/decisions/configuration/note_evaluation.h"

namespace lacewingferry {

NoteAnswer ConfigurationState::Apply(const NoteSubmission& submission,
                                     std::uint64_t index) {
  if (index <= this->configuration.applied_index) {
    return EvaluateNote(submission.note, this->configuration);
  }
  this->configuration.applied_index = index;
  return ApplyNote(submission, &this->configuration);
}

void ConfigurationState::Restore(Configuration snapshot) {
  if (snapshot.applied_index < this->configuration.applied_index) {
    throw InternalError(
        "snapshot is older than the state that it would replace");
  }
  this->configuration = std::move(snapshot);
}

}  // namespace lacewingferry
