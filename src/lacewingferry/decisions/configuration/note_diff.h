#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_DIFF_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_DIFF_H_

// Defines DiffNote, what a release note would change of the configuration.

#include <cstdint>
#include <string>
#include <vector>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** How a note touches an item. */
enum class DiffAction : std::uint8_t { kAdded, kChanged, kWithdrawn };

/** A field of an item. An added item has no text before, a withdrawn one none
 * after. */
struct FieldDiff {
  std::string field;
  std::string before;
  std::string after;
};

/** An item that the note touches. */
struct ItemDiff {
  DiffAction action = DiffAction::kAdded;
  /** The kind of thing, for example group. */
  std::string kind;
  std::string id;
  /** All fields of an added or withdrawn item; of a changed one those that
   * differ. */
  std::vector<FieldDiff> fields;
};

/** The items that a note touches, by kind and in the note's order. Changed and
 * withdrawn items that aren't in force have no text before. */
std::vector<ItemDiff> DiffNote(const ReleaseNote& note,
                               const ConfigurationInForce& in_force);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_DIFF_H_
