#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_IN_FORCE_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_IN_FORCE_H_

// Defines MakeNoteInForce, which writes the configuration in force as one
// release note.

#include <string>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** Returns a note that, applied to an empty system, puts the same items in
 * force. Its identifier contains the revision. */
ReleaseNote MakeNoteInForce(const ConfigurationInForce& in_force,
                            const std::string& author);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_IN_FORCE_H_
