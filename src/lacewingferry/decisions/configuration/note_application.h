#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_APPLICATION_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_APPLICATION_H_

// Defines ApplyNote, which decides what becomes of a release note and carries
// it out.

#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"
#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry {

/**
 * Judges a note and, if it is accepted, applies it. The same notes in the same
 * order always give the same state and answers. A note is accepted only if it
 * was written against the revision in force, so that it is applied at most
 * once and nothing reverts. A resend gets the first answer while its note is
 * kept: see kMostHistoryEntries and kMostRejectedNotes.
 */
NoteAnswer ApplyNote(const NoteSubmission& submission,
                     Configuration* configuration);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_APPLICATION_H_
