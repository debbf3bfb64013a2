#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_JUDGEMENT_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_JUDGEMENT_H_

// Defines JudgeNote, the answer that a release note would get now.

#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"
#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry {

/**
 * Decides the answer to a note without applying it. In this order: a note of a
 * known identifier gets the first answer or kIdReused, a note of an earlier
 * base revision kConflict, a note with mistakes kRefused.
 */
NoteAnswer JudgeNote(const ReleaseNote& note,
                     const Configuration& configuration);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_JUDGEMENT_H_
