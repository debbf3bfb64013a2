#include "lacewingferry/decisions/configuration/note_in_force.h"

#include "lacewingferry/decisions/configuration/item_kind.h"

namespace lacewingferry {

ReleaseNote MakeNoteInForce(const ConfigurationInForce& in_force,
                            const std::string& author) {
  ReleaseNote note;
  note.id = NoteId("in-force-at-revision-" + std::to_string(in_force.revision));
  note.author = author;
  detail::ForEachKind([&](const auto& kind) {
    for (const auto& [id, item] : in_force.*kind.in_force) {
      (note.added.*kind.items).push_back(item);
    }
  });
  return note;
}

}  // namespace lacewingferry
