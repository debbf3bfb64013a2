#include "lacewingferry/app/recent_events.h"

namespace lacewingferry {

void RecentEvents::Add(const TimelineEntry& entry) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->entries.push_back(entry);
  if (this->entries.size() > this->most_entries) {
    this->entries.pop_front();
  }
}

std::vector<TimelineEntry> RecentEvents::All() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return {this->entries.begin(), this->entries.end()};
}

}  // namespace lacewingferry
