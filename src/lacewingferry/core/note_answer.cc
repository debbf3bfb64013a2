#include "lacewingferry/core/note_answer.h"

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

const char* VerdictName(NoteVerdict verdict) {
  switch (verdict) {
    case NoteVerdict::kAccepted:
      return "accepted";
    case NoteVerdict::kRefused:
      return "refused";
    case NoteVerdict::kConflict:
      return "conflict";
    case NoteVerdict::kIdReused:
      return "id_reused";
  }
  throw InternalError("verdict without a name");
}

}  // namespace lacewingferry
