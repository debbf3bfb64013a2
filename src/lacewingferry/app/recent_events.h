#ifndef LACEWINGFERRY_APP_RECENT_EVENTS_H_
#define LACEWINGFERRY_APP_RECENT_EVENTS_H_

// Defines RecentEvents, the newest events of a process.

#include <cstddef>
#include <deque>
#include <mutex>
#include <vector>

#include "lacewingferry/core/timeline_entry.h"

namespace lacewingferry {

/** Keeps a bounded number of events for the time line. Any thread may use
 * it. */
class RecentEvents {
 public:
  /** Keeps at most so many events. */
  explicit RecentEvents(std::size_t most) : most_entries(most) {}

  /** Adds an event and drops the oldest beyond the bound. */
  void Add(const TimelineEntry& entry);

  /** The kept events, oldest first. */
  std::vector<TimelineEntry> All() const;

 private:
  std::size_t most_entries;
  mutable std::mutex mutex;
  std::deque<TimelineEntry> entries;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_RECENT_EVENTS_H_
