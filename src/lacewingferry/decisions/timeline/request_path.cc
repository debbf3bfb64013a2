#include "lacewingferry/decisions/timeline/request_path.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

/** Long enough to include a cause: a lease ends, and control detects the loss
 * of a primary, within a few seconds. */
constexpr milliseconds kTimeBeforeArrival{10000};
/** Other processes record the same event slightly later. */
constexpr milliseconds kTimeAfterAnswer{1000};

/** The process that answered a request, its database, and the time range in
 * which other events may be related to it. */
struct RequestWindow {
  NodeId node;
  std::string database;
  HybridTime from;
  HybridTime until;
};

bool HasCode(const TimelineEntry& entry, EventCode code) {
  return entry.number == static_cast<std::uint16_t>(code);
}

bool IsRequestEvent(const TimelineEntry& entry) {
  return HasCode(entry, EventCode::kRequestRefused) ||
         HasCode(entry, EventCode::kRequestUnknown) ||
         HasCode(entry, EventCode::kRequestServed);
}

bool IsEventOfRequest(const TimelineEntry& entry, const RequestId& request) {
  return IsRequestEvent(entry) && entry.Field("request") == request.Value();
}

/** How long a request took; 0 if its entry doesn't state it. */
milliseconds DurationOf(const TimelineEntry& entry) {
  const std::string text = entry.Field("took_ms");
  milliseconds::rep ticks = 0;
  std::from_chars(text.data(), text.data() + text.size(), ticks);
  return milliseconds(ticks);
}

RequestWindow WindowOf(const TimelineEntry& entry) {
  return {entry.node, entry.Field("database"),
          entry.time - DurationOf(entry) - kTimeBeforeArrival,
          entry.time + kTimeAfterAnswer};
}

bool IsRelated(const TimelineEntry& entry, const RequestWindow& window) {
  if (entry.time < window.from || entry.time > window.until) return false;
  if (IsRequestEvent(entry)) return false;
  if (HasCode(entry, EventCode::kControlLeaderChanged)) return true;
  const std::string database = entry.Field("database");
  if (!database.empty()) return database == window.database;
  return entry.node == window.node;
}

}  // namespace

std::vector<TimelineEntry> FindRequestPath(
    const std::vector<TimelineEntry>& merged, const RequestId& request) {
  std::vector<RequestWindow> windows;
  for (const TimelineEntry& entry : merged) {
    if (IsEventOfRequest(entry, request)) windows.push_back(WindowOf(entry));
  }
  std::vector<TimelineEntry> entries;
  for (const TimelineEntry& entry : merged) {
    const bool related = std::any_of(
        windows.begin(), windows.end(),
        [&](const RequestWindow& window) { return IsRelated(entry, window); });
    if (related || IsEventOfRequest(entry, request)) entries.push_back(entry);
  }
  return entries;
}

}  // namespace lacewingferry
