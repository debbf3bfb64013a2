#include "lacewingferry/decisions/configuration/history_limits.h"

#include <algorithm>
#include <vector>

#include "lacewingferry/decisions/configuration/item_kind.h"

namespace lacewingferry {
namespace {

/** Counts the items of a note and their databases, plus one for the note. */
std::size_t NoteSize(const ReleaseNote& note) {
  std::size_t size = 1;
  detail::ForEachKind([&](const auto& kind) {
    size += (note.added.*kind.items).size();
    size += (note.changed.*kind.items).size();
    size += (note.withdrawn.*kind.withdrawn).size();
  });
  for (const NoteItems* items : {&note.added, &note.changed}) {
    for (const DatabaseGroup& group : items->groups) {
      size += group.databases.size();
    }
  }
  return size;
}

/** Keeps the newest entries that fit both limits, but at least one. */
template <typename Entry>
void KeepNewest(std::vector<Entry>* entries, std::size_t max_entries,
                std::size_t max_items) {
  std::size_t items = 0;
  std::size_t kept = 0;
  while (kept < entries->size() && kept < max_entries) {
    items += NoteSize((*entries)[entries->size() - 1 - kept].note);
    if (kept > 0 && items > max_items) {
      break;
    }
    ++kept;
  }
  entries->erase(entries->begin(),
                 entries->end() - static_cast<std::ptrdiff_t>(kept));
}

template <typename Id>
void DropOldestName(WithdrawnNames<Id>* withdrawn) {
  const auto oldest =
      std::min_element(withdrawn->names.begin(), withdrawn->names.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.revision < b.second.revision;
                       });
  withdrawn->forgotten_generation =
      std::max(withdrawn->forgotten_generation, oldest->second.generation);
  withdrawn->names.erase(oldest);
}

}  // namespace

void TrimHistory(Configuration* configuration) {
  KeepNewest(&configuration->history, kMaxHistoryEntries, kMaxHistoryItems);
  KeepNewest(&configuration->rejected, kMaxRejectedNotes, kMaxRejectedItems);
  detail::ForEachKind([&](const auto& kind) {
    auto& withdrawn = configuration->*kind.withdrawn_names;
    while (withdrawn.names.size() > kMaxWithdrawnNames) {
      DropOldestName(&withdrawn);
    }
  });
}

}  // namespace lacewingferry
