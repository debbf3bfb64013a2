#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_STATE_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_STATE_H_

// Defines ConfigurationState, which builds the configuration from the release
// notes of the control log.

#include <cstdint>

#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"
#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry {

/** The configuration of a control process. Used on the control thread only. */
class ConfigurationState {
 public:
  /**
   * Applies the note of a committed log entry and returns the answer to it.
   * Entries are applied in index order. An entry that was already applied, or
   * is covered by the restored snapshot, changes nothing and gets the answer to
   * a resent note.
   */
  NoteAnswer Apply(const NoteSubmission& submission, std::uint64_t index);

  /** The current state, for reads and snapshots. */
  const Configuration& Current() const { return this->configuration; }

  /** Replaces the state by a snapshot. Throws InternalError if the snapshot is
   * older than the current state. */
  void Restore(Configuration snapshot);

 private:
  Configuration configuration;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_CONFIGURATION_STATE_H_
