#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_CHANGES_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_CHANGES_H_

// Defines ApplyItems, which carries a note's items out on a configuration.

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** Adds, changes and withdraws the items of a note and raises the revision by
 * one. The note has to have been checked. */
void ApplyItems(const ReleaseNote& note, ConfigurationInForce* in_force);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_ITEM_CHANGES_H_
