#ifndef LACEWINGFERRY_ADAPTERS_YAML_RELEASE_NOTE_READER_H_
#define LACEWINGFERRY_ADAPTERS_YAML_RELEASE_NOTE_READER_H_

// Defines ReadReleaseNote, which reads a release note from YAML.

#include <map>
#include <string>
#include <vector>

#include "lacewingferry/core/finding.h"
#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** A release note and the places of its items in the document. */
struct PlacedNote {
  ReleaseNote note;
  std::string file;
  /** By the item's name as findings give it. */
  std::map<std::string, Place> places;

  /** Gives findings of the decisions their places in the document. */
  std::vector<Finding> Locate(const std::vector<NoteFinding>& findings) const;
};

/** Reads a release note from a document's text; file names it in findings.
 * Throws FindingsError with every mistake that shows without knowledge of what
 * is in force. */
PlacedNote ReadReleaseNote(const std::string& text, const std::string& file);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_YAML_RELEASE_NOTE_READER_H_
