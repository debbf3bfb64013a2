#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_CHECK_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_CHECK_H_

// Defines CheckNote, which finds every mistake of a release note against the
// configuration.

#include <vector>

#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"
#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry {

/** The mistakes of a note, in the order of its parts; none for a note that
 * can be applied. The base revision isn't looked at. */
std::vector<NoteFinding> CheckNote(const ReleaseNote& note,
                                   const Configuration& configuration);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_CHECK_H_
