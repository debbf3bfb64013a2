#include "lacewingferry/decisions/configuration/note_evaluation.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/configuration/note_check.h"

namespace lacewingferry {
namespace {

/** The maximum number of findings in an answer; further ones are only
 * counted. */
constexpr std::size_t kMaxFindings = 50;

NoteWinner WinnerOf(const HistoryEntry& entry) {
  return NoteWinner{entry.note.id, entry.note.author, entry.revision};
}

NoteAnswer MarkRepeated(NoteAnswer answer) {
  answer.repeated = true;
  return answer;
}

NoteAnswer AnswerKnownId(const ReleaseNote& note,
                         const HistoryEntry& accepted) {
  NoteAnswer answer;
  answer.revision = accepted.revision;
  if (accepted.note == note) {
    answer.verdict = NoteVerdict::kAccepted;
    return MarkRepeated(answer);
  }
  answer.verdict = NoteVerdict::kIdReused;
  answer.winner = WinnerOf(accepted);
  return answer;
}

/** Returns the answer to a note that was answered before, or whose identifier
 * belongs to another accepted note. The identifier of a rejected note is not
 * reserved: the note may be corrected and sent again under it. */
std::optional<NoteAnswer> FindFirstAnswer(const ReleaseNote& note,
                                          const Configuration& configuration) {
  for (const HistoryEntry& entry : configuration.history) {
    if (entry.note.id == note.id) {
      return AnswerKnownId(note, entry);
    }
  }
  for (const RejectedNote& rejected : configuration.rejected) {
    if (rejected.note == note) {
      return MarkRepeated(rejected.answer);
    }
  }
  return std::nullopt;
}

/** Returns the note that created a revision or, if it is no longer kept, the
 * oldest kept note after it. */
std::optional<NoteWinner> FindWinner(std::uint64_t revision,
                                     const Configuration& configuration) {
  const auto found = std::find_if(
      configuration.history.begin(), configuration.history.end(),
      [&](const HistoryEntry& entry) { return entry.revision >= revision; });
  if (found == configuration.history.end()) {
    return std::nullopt;
  }
  return WinnerOf(*found);
}

std::vector<NoteFinding> FindMistakes(const ReleaseNote& note,
                                      const Configuration& configuration) {
  const std::uint64_t present = configuration.in_force.revision;
  if (note.base_revision > present) {
    return {NoteFinding{"", "the base_revision " +
                                std::to_string(note.base_revision) +
                                " has not been reached; in force is " +
                                std::to_string(present)}};
  }
  std::vector<NoteFinding> findings = CheckNote(note, configuration);
  if (findings.size() > kMaxFindings) {
    const std::size_t more = findings.size() - kMaxFindings;
    findings.resize(kMaxFindings);
    findings.push_back(
        NoteFinding{"", "and " + std::to_string(more) + " more findings"});
  }
  return findings;
}

}  // namespace

NoteAnswer EvaluateNote(const ReleaseNote& note,
                        const Configuration& configuration) {
  if (auto first = FindFirstAnswer(note, configuration)) {
    return *std::move(first);
  }
  NoteAnswer answer;
  answer.revision = configuration.in_force.revision;
  if (note.base_revision < configuration.in_force.revision) {
    answer.verdict = NoteVerdict::kConflict;
    answer.winner = FindWinner(note.base_revision + 1, configuration);
    return answer;
  }
  answer.findings = FindMistakes(note, configuration);
  if (!answer.findings.empty()) {
    answer.verdict = NoteVerdict::kRefused;
    return answer;
  }
  answer.verdict = NoteVerdict::kAccepted;
  answer.revision = configuration.in_force.revision + 1;
  return answer;
}

}  // namespace lacewingferry
