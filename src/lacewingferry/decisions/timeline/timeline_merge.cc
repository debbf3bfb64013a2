#include "lacewingferry/decisions/timeline/timeline_merge.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace lacewingferry {
namespace {

bool Precedes(const TimelineEntry& a, const TimelineEntry& b) {
  return std::tie(a.time, a.node) < std::tie(b.time, b.node);
}

bool SameEvent(const TimelineEntry& a, const TimelineEntry& b) {
  return std::tie(a.time, a.node, a.number, a.fields) ==
         std::tie(b.time, b.node, b.number, b.fields);
}

/** Appends an event unless one like it of the same time and node stands
 * already. */
void AppendOnce(const TimelineEntry& entry,
                std::vector<TimelineEntry>* merged) {
  for (auto i = merged->rbegin(); i != merged->rend(); ++i) {
    if (Precedes(*i, entry)) {
      break;
    }
    if (SameEvent(*i, entry)) {
      return;
    }
  }
  merged->push_back(entry);
}

}  // namespace

std::vector<TimelineEntry> MergeTimelines(
    const std::vector<std::vector<TimelineEntry>>& sources) {
  std::vector<TimelineEntry> all;
  for (const std::vector<TimelineEntry>& source : sources) {
    all.insert(all.end(), source.begin(), source.end());
  }
  std::stable_sort(all.begin(), all.end(), Precedes);
  std::vector<TimelineEntry> merged;
  for (const TimelineEntry& entry : all) {
    AppendOnce(entry, &merged);
  }
  return merged;
}

}  // namespace lacewingferry
