#include "lacewingferry/decisions/control/control_state.h"

#include <utility>

namespace lacewingferry {

ControlOutcome ControlState::Apply(const ControlCommand& command,
                                   std::uint64_t index) {
  this->last_index = index;
  return this->ApplyCommand(command, index);
}

ControlOutcome ControlState::ApplyCommand(const ControlCommand& command,
                                          std::uint64_t index) {
  if (const auto* note = std::get_if<NoteSubmission>(&command.body)) {
    return this->configuration.Apply(*note, index);
  }
  if (const auto* database = std::get_if<DatabaseCommand>(&command.body)) {
    return this->ApplyTerm(*database);
  }
  if (const auto* roster_change = std::get_if<RosterCommand>(&command.body)) {
    return this->ApplyRoster(*roster_change);
  }
  if (const auto* cover = std::get_if<CoverEndedRuns>(&command.body)) {
    const DatabaseTerm* entry = this->terms.Find(cover->database);
    return this->ended_runs.Cover(*cover, entry) ? StateChange::kChanged
                                                 : StateChange::kNone;
  }
  return this->ReplaceServices(std::get<ConfigurationSubmission>(command.body));
}

ApplyResult ControlState::ApplyTerm(const DatabaseCommand& command) {
  const ApplyResult result = this->terms.Apply(command);
  const auto* confirm = std::get_if<ConfirmPrimary>(&command.body);
  if (confirm != nullptr && result == ApplyResult::kApplied) {
    this->ended_runs.OnPrimaryConfirmed(*this->terms.Find(confirm->database));
  }
  return result;
}

/** Applies a change of the roster, and remembers the runs that it ends. The
 * leader's own run isn't one of them: each acknowledged commit is at a replica,
 * too. */
StateChange ControlState::ApplyRoster(const RosterCommand& command) {
  const bool displaced = std::holds_alternative<EnterMember>(command.body);
  for (const MemberAnnouncement& ended : this->roster.EndedBy(command)) {
    const DatabaseTerm* entry = this->terms.Find(ended.info.database);
    if (entry == nullptr || entry->LastLeader() == ended.info.id) continue;
    this->ended_runs.Add(
        ended.info.database,
        {{ended.info.id, ended.incarnation}, ended.info.endpoint, displaced});
  }
  return this->roster.Apply(command) ? StateChange::kChanged
                                     : StateChange::kNone;
}

StateChange ControlState::ReplaceServices(
    const ConfigurationSubmission& submission) {
  if (submission.version <= this->services.version) return StateChange::kNone;
  this->services = submission;
  return StateChange::kChanged;
}

ControlSnapshot ControlState::TakeSnapshot() const {
  return ControlSnapshot{this->configuration.Current(),
                         this->terms,
                         this->services,
                         this->roster,
                         this->last_index,
                         this->ended_runs};
}

void ControlState::Restore(ControlSnapshot snapshot) {
  // The snapshot may be older than the current state; the later log entries are
  // then applied again. ConfigurationState::Restore rejects an older snapshot,
  // so it is called on an empty state.
  this->configuration = ConfigurationState();
  this->configuration.Restore(std::move(snapshot.configuration));
  this->terms = std::move(snapshot.terms);
  this->services = std::move(snapshot.services);
  this->roster = std::move(snapshot.roster);
  this->ended_runs = std::move(snapshot.ended_runs);
  this->last_index = snapshot.index;
}

}  // namespace lacewingferry
