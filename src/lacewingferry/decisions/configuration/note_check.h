#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_CHECK_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_CHECK_H_

// Defines CheckNote, which checks a release note against the configuration and
// reports every mistake.

#include <vector>

#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"
#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry {

/** Returns the mistakes of a note; empty if the note can be applied. Does not
 * check the base revision. */
std::vector<NoteFinding> CheckNote(const ReleaseNote& note,
                                   const Configuration& configuration);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_CHECK_H_
