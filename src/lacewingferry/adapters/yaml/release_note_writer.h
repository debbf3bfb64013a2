#ifndef LACEWINGFERRY_ADAPTERS_YAML_RELEASE_NOTE_WRITER_H_
#define LACEWINGFERRY_ADAPTERS_YAML_RELEASE_NOTE_WRITER_H_

// Defines WriteReleaseNote, which prints a release note as YAML.

#include <string>

#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** Prints a note so that ReadReleaseNote reads the same note from it. */
std::string WriteReleaseNote(const ReleaseNote& note);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_YAML_RELEASE_NOTE_WRITER_H_
