#include "lacewingferry/decisions/configuration/note_application.h"

#include "lacewingferry/decisions/configuration/history_limits.h"
#include "lacewingferry/decisions/configuration/item_changes.h"
#include "lacewingferry/decisions/configuration/item_kind.h"
#include "lacewingferry/decisions/configuration/note_evaluation.h"

namespace lacewingferry {
namespace {

/** Records the generations of withdrawn names, and deletes the records of names
 * that are added again. */
void RecordWithdrawals(const ReleaseNote& note, Configuration* configuration) {
  detail::ForEachKind([&](const auto& kind) {
    const auto& present = configuration->in_force.*kind.in_force;
    auto& names = (configuration->*kind.withdrawn_names).names;
    for (const auto& item : note.added.*kind.items) {
      names.erase(item.*kind.id);
    }
    for (const auto& id : note.withdrawn.*kind.withdrawn) {
      names[id] = Withdrawal{present.at(id).generation,
                             configuration->in_force.revision + 1};
    }
  });
}

}  // namespace

NoteAnswer ApplyNote(const NoteSubmission& submission,
                     Configuration* configuration) {
  const ReleaseNote& note = submission.note;
  NoteAnswer answer = EvaluateNote(note, *configuration);
  if (answer.repeated || answer.verdict == NoteVerdict::kIdReused) {
    return answer;
  }
  if (answer.verdict == NoteVerdict::kAccepted) {
    RecordWithdrawals(note, configuration);
    ApplyItems(note, &configuration->in_force);
    configuration->history.push_back(HistoryEntry{
        answer.revision, note, submission.received_at, submission.sender});
  } else {
    configuration->rejected.push_back(RejectedNote{note, answer});
  }
  TrimHistory(configuration);
  return answer;
}

}  // namespace lacewingferry
