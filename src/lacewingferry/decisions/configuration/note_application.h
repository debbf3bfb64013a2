#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_APPLICATION_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_APPLICATION_H_

// Defines ApplyNote, which evaluates a release note and applies it if it is
// accepted.

#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"
#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry {

/**
 * Evaluates a note and, if it is accepted, applies it. The same notes in the
 * same order always give the same state and answers. A note is accepted only if
 * its base revision is the revision in force, so a note is applied at most once
 * and no note overwrites a later one. A resent note gets its first answer while
 * that note is kept: see kMaxHistoryEntries and kMaxRejectedNotes.
 */
NoteAnswer ApplyNote(const NoteSubmission& submission,
                     Configuration* configuration);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_APPLICATION_H_
