#ifndef LACEWINGFERRY_CORE_TIMELINE_ENTRY_H_
#define LACEWINGFERRY_CORE_TIMELINE_ENTRY_H_

// Defines TimelineEntry, an event with its time and its process.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/core/events.h"
#include "lacewingferry/core/hybrid_time.h"
#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** One event of the time line. Its number may be one that this version doesn't
 * know, so it is kept as a number with its name. */
struct TimelineEntry {
  HybridTime time;
  NodeId node;
  std::string program;
  EventLevel level = EventLevel::kInfo;
  std::uint16_t number = 0;
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;

  /** The value of a field; empty if the event doesn't have it. */
  std::string Field(const std::string& field) const {
    for (const auto& [key, value] : this->fields) {
      if (key == field) {
        return value;
      }
    }
    return "";
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_TIMELINE_ENTRY_H_
