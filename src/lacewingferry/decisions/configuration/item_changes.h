#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_CHANGES_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_CHANGES_H_

// Defines ApplyItems, which applies a release note's items to a configuration.

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** Adds, changes and withdraws the items of a note and increments the revision.
 * Does not check the note. */
void ApplyItems(const ReleaseNote& note, ConfigurationInForce* in_force);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_CHANGES_H_
