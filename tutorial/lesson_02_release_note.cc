// Lesson 2: how a release note is read, and how its mistakes come back.
//
// An operator gets all mistakes of a note at once, each with its place. Only a
// note without mistakes is compared with what is in force.

#include <cstdlib>
#include <iostream>

#include "lacewingferry/adapters/yaml/release_note_reader.h"
#include "lacewingferry/core/finding.h"

using lacewingferry::FindingsError;
using lacewingferry::FormatFindings;
using lacewingferry::PlacedNote;
using lacewingferry::ReadReleaseNote;

namespace {

constexpr char kNote[] = R"(note: two-seconds-for-permits
base_revision: 0
author: marit
added:
  groups:
    - id: permit-db
      databases: [permit-db-1, permit-db-2]
      members: 3
      slots: 5
  staleness_rules:
    - group: permit-db
      max_age: 2s
)";

/** A unit is missing, and "slotz" is no key. */
constexpr char kWrongNote[] = R"(note: with-mistakes
base_revision: 0
author: marit
added:
  groups:
    - id: permit-db
      databases: [permit-db-1]
      members: 3
      slotz: 5
  staleness_rules:
    - group: permit-db
      max_age: 2
)";

}  // namespace

int main() {
  const PlacedNote read = ReadReleaseNote(kNote, "note.yaml");
  std::cout << "note " << read.note.id.Value() << " adds "
            << read.note.added.groups.size() << " group\n";
  if (read.note.added.groups.at(0).databases.size() != 2) return EXIT_FAILURE;

  try {
    ReadReleaseNote(kWrongNote, "wrong.yaml");
    return EXIT_FAILURE;
  } catch (const FindingsError& error) {
    std::cout << FormatFindings(error.Findings()) << "\n";
    // Both are reported together.
    return error.Findings().size() >= 2 ? EXIT_SUCCESS : EXIT_FAILURE;
  }
}
