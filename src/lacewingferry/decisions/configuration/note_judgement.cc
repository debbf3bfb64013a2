#include "lacewingferry/decisions/configuration/note_judgement.h"

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

/** A note with more mistakes is answered with the first of them. */
constexpr std::size_t kMostFindings = 50;

NoteWinner WinnerOf(const HistoryEntry& entry) {
  return NoteWinner{entry.note.id, entry.note.author, entry.revision};
}

NoteAnswer Repeat(NoteAnswer answer) {
  answer.repeated = true;
  return answer;
}

NoteAnswer AnswerKnown(const ReleaseNote& note, const HistoryEntry& accepted) {
  NoteAnswer answer;
  answer.revision = accepted.revision;
  if (accepted.note == note) {
    answer.verdict = NoteVerdict::kAccepted;
    return Repeat(answer);
  }
  answer.verdict = NoteVerdict::kIdReused;
  answer.winner = WinnerOf(accepted);
  return answer;
}

/** The answer to a note whose identifier is kept, if it is. A rejected note
 * binds its identifier to nothing: it may be mended and sent again. */
std::optional<NoteAnswer> FindFirstAnswer(const ReleaseNote& note,
                                          const Configuration& configuration) {
  for (const HistoryEntry& entry : configuration.history) {
    if (entry.note.id == note.id) {
      return AnswerKnown(note, entry);
    }
  }
  for (const RejectedNote& rejected : configuration.rejected) {
    if (rejected.note == note) {
      return Repeat(rejected.answer);
    }
  }
  return std::nullopt;
}

/** The note that made a revision or, when it is no longer kept, the oldest
 * one after it. */
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
  if (findings.size() > kMostFindings) {
    const std::size_t more = findings.size() - kMostFindings;
    findings.resize(kMostFindings);
    findings.push_back(
        NoteFinding{"", "and " + std::to_string(more) + " more findings"});
  }
  return findings;
}

}  // namespace

NoteAnswer JudgeNote(const ReleaseNote& note,
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
