#ifndef LACEWINGFERRY_CORE_CONTROL_COMMAND_H_
#define LACEWINGFERRY_CORE_CONTROL_COMMAND_H_

// Defines ControlCommand, what an entry of the control log changes.

#include <variant>

#include "lacewingferry/core/database_command.h"
#include "lacewingferry/core/fleet_command.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** A command of the control log. Logs number the alternatives by their order:
 * add new ones at the end. */
struct ControlCommand {
  std::variant<NoteSubmission, DatabaseCommand, ConfigurationSubmission,
               RosterCommand, CoverEndedRuns>
      body;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("body", self.body);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_CONTROL_COMMAND_H_
