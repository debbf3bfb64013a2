#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_DIFF_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_DIFF_H_

// Defines DiffNote, which lists what a release note would change in the
// configuration.

#include <cstdint>
#include <string>
#include <vector>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** What a note does with an item. */
enum class DiffAction : std::uint8_t { kAdded, kChanged, kWithdrawn };

/** A field of an item. `before` is empty for an added item, `after` for a
 * withdrawn one. */
struct FieldDiff {
  std::string field;
  std::string before;
  std::string after;
};

/** An item that the note adds, changes or withdraws. */
struct ItemDiff {
  DiffAction action = DiffAction::kAdded;
  /** The kind of item, for example group. */
  std::string kind;
  std::string id;
  /** All fields of an added or withdrawn item; only the differing fields of a
   * changed one. */
  std::vector<FieldDiff> fields;
};

/** Returns the items that a note adds, changes or withdraws, by kind and in the
 * note's order. `before` is empty for items that are not in force. */
std::vector<ItemDiff> DiffNote(const ReleaseNote& note,
                               const ConfigurationInForce& in_force);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_NOTE_DIFF_H_
