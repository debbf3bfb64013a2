#include "lacewingferry/decisions/timeline/timeline_merge.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace lacewingferry {
namespace {

bool IsOrderedBefore(const TimelineEntry& a, const TimelineEntry& b) {
  return std::tie(a.time, a.node) < std::tie(b.time, b.node);
}

bool SameEvent(const TimelineEntry& a, const TimelineEntry& b) {
  return std::tie(a.time, a.node, a.number, a.fields) ==
         std::tie(b.time, b.node, b.number, b.fields);
}

/** Appends an event unless the merged timeline already contains it. Compares it
 * only with events of the same time and process. */
void AppendIfNew(const TimelineEntry& entry,
                 std::vector<TimelineEntry>* merged) {
  for (auto it = merged->rbegin(); it != merged->rend(); ++it) {
    if (IsOrderedBefore(*it, entry)) {
      break;
    }
    if (SameEvent(*it, entry)) {
      return;
    }
  }
  merged->push_back(entry);
}

}  // namespace

std::vector<TimelineEntry> MergeTimelines(
    const std::vector<std::vector<TimelineEntry>>& sources) {
  std::vector<TimelineEntry> entries;
  for (const std::vector<TimelineEntry>& source : sources) {
    entries.insert(entries.end(), source.begin(), source.end());
  }
  std::stable_sort(entries.begin(), entries.end(), IsOrderedBefore);
  std::vector<TimelineEntry> merged;
  for (const TimelineEntry& entry : entries) {
    AppendIfNew(entry, &merged);
  }
  return merged;
}

}  // namespace lacewingferry
