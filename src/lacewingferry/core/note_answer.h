#ifndef LACEWINGFERRY_CORE_NOTE_ANSWER_H_
#define LACEWINGFERRY_CORE_NOTE_ANSWER_H_

// Defines NoteAnswer, what became of a release note.

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** What became of a note. */
enum class NoteVerdict : std::uint8_t {
  /** The note is in the history and in force. */
  kAccepted = 0,
  /** The note has mistakes; it changed nothing. */
  kRefused = 1,
  /** Another note made the next revision first; this one changed nothing. */
  kConflict = 2,
  /** The identifier belongs to an accepted note of other content. */
  kIdReused = 3,
};

/** One mistake in a note. */
struct NoteFinding {
  /** What the finding is about, for example: added group 'permit-db'. Empty
   * for the note as a whole. */
  std::string item;
  std::string message;

  friend bool operator==(const NoteFinding& a, const NoteFinding& b) {
    return std::tie(a.item, a.message) == std::tie(b.item, b.message);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("item", self.item);
    visit("message", self.message);
  }
};

/** The accepted note that stands in another one's way. */
struct NoteWinner {
  NoteId id;
  std::string author;
  /** The revision that the note made. */
  std::uint64_t revision = 0;

  friend bool operator==(const NoteWinner& a, const NoteWinner& b) {
    return std::tie(a.id, a.author, a.revision) ==
           std::tie(b.id, b.author, b.revision);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("id", self.id);
    visit("author", self.author);
    visit("revision", self.revision);
  }
};

/** The answer to a note. */
struct NoteAnswer {
  NoteVerdict verdict = NoteVerdict::kRefused;
  /** The revision that the note made; for a note that changed nothing the
   * revision in force when it was judged. */
  std::uint64_t revision = 0;
  /** Whether this is the first answer, given again to a resend. */
  bool repeated = false;
  /** Set on kRefused. */
  std::vector<NoteFinding> findings;
  /** Set on kConflict and kIdReused. */
  std::optional<NoteWinner> winner;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("verdict", self.verdict);
    visit("revision", self.revision);
    visit("repeated", self.repeated);
    visit("findings", self.findings);
    visit("winner", self.winner);
  }
};

/** The name of a verdict in answers, for example accepted. */
const char* VerdictName(NoteVerdict verdict);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_NOTE_ANSWER_H_
