#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_EVALUATION_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_EVALUATION_H_

// Defines EvaluateNote, which determines the answer to a release note.

#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"
#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry {

/**
 * Determines the answer to a note without applying it. The checks run in this
 * order: a note that was already answered gets its first answer; a note with
 * the identifier of a different accepted note gets kIdReused; a note with an
 * earlier base revision gets kConflict; a note with mistakes gets kRefused.
 */
NoteAnswer EvaluateNote(const ReleaseNote& note,
                        const Configuration& configuration);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_EVALUATION_H_
