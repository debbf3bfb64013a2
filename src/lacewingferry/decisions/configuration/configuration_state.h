#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_STATE_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_STATE_H_

// Defines ConfigurationState, which builds the configuration from the notes
// of the control log.

#include <cstdint>

#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"
#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry {

/** The configuration of a control process. Used on the control thread only. */
class ConfigurationState {
 public:
  /**
   * Applies the note of a committed log entry and returns its answer. Indices
   * rise; an entry that was applied before, or is part of the restored
   * snapshot, changes nothing and gets the answer of a resend.
   */
  NoteAnswer Apply(const NoteSubmission& submission, std::uint64_t index);

  /** The state, for reads and for a snapshot. */
  const Configuration& Current() const { return this->configuration; }

  /** Takes a snapshot over. Throws InternalError if it is older than the
   * present state. */
  void Restore(Configuration snapshot);

 private:
  Configuration configuration;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_STATE_H_
