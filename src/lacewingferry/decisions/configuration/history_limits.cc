#include "lacewingferry/decisions/configuration/history_limits.h"

#include <algorithm>
#include <vector>

#include "lacewingferry/decisions/configuration/item_kind.h"

namespace lacewingferry {
namespace {

/** The items of a note; one more stands for the note itself. */
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

/** Keeps the newest entries, at least one, that fit both bounds. */
template <typename Entry>
void KeepNewest(std::vector<Entry>* entries, std::size_t most_entries,
                std::size_t most_items) {
  std::size_t items = 0;
  std::size_t kept = 0;
  while (kept < entries->size() && kept < most_entries) {
    items += NoteSize((*entries)[entries->size() - 1 - kept].note);
    if (kept > 0 && items > most_items) {
      break;
    }
    ++kept;
  }
  entries->erase(entries->begin(),
                 entries->end() - static_cast<std::ptrdiff_t>(kept));
}

template <typename Id>
void ForgetOldestName(WithdrawnNames<Id>* withdrawn) {
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
  KeepNewest(&configuration->history, kMostHistoryEntries, kMostHistoryItems);
  KeepNewest(&configuration->rejected, kMostRejectedNotes, kMostRejectedItems);
  detail::ForEachKind([&](const auto& kind) {
    auto& withdrawn = configuration->*kind.withdrawn_names;
    while (withdrawn.names.size() > kMostWithdrawnNames) {
      ForgetOldestName(&withdrawn);
    }
  });
}

}  // namespace lacewingferry
