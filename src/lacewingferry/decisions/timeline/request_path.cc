#include "lacewingferry/decisions/timeline/request_path.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

/** A lease ends, and control notices a lost primary, within a few seconds. */
constexpr milliseconds kBeforeArrival{10000};
/** Other processes tell of the same event a little later. */
constexpr milliseconds kAfterAnswer{1000};

/** Where and when a request was served, and by which database. */
struct RequestSpan {
  NodeId node;
  std::string database;
  HybridTime from;
  HybridTime until;
};

bool IsCode(const TimelineEntry& entry, EventCode code) {
  return entry.number == static_cast<std::uint16_t>(code);
}

bool IsOfARequest(const TimelineEntry& entry) {
  return IsCode(entry, EventCode::kRequestRefused) ||
         IsCode(entry, EventCode::kRequestUnknown) ||
         IsCode(entry, EventCode::kRequestServed);
}

bool IsOf(const TimelineEntry& entry, const RequestId& request) {
  return IsOfARequest(entry) && entry.Field("request") == request.Value();
}

/** The time that a request took; 0 if its entry doesn't say. */
milliseconds TookOf(const TimelineEntry& entry) {
  const std::string text = entry.Field("took_ms");
  std::int64_t took = 0;
  std::from_chars(text.data(), text.data() + text.size(), took);
  return milliseconds(took);
}

RequestSpan SpanOf(const TimelineEntry& entry) {
  return {entry.node, entry.Field("database"),
          entry.time - TookOf(entry) - kBeforeArrival,
          entry.time + kAfterAnswer};
}

bool Concerns(const TimelineEntry& entry, const RequestSpan& span) {
  if (entry.time < span.from || entry.time > span.until) return false;
  if (IsOfARequest(entry)) return false;
  if (IsCode(entry, EventCode::kControlLeaderChanged)) return true;
  const std::string database = entry.Field("database");
  if (!database.empty()) return database == span.database;
  return entry.node == span.node;
}

}  // namespace

std::vector<TimelineEntry> FindRequestPath(
    const std::vector<TimelineEntry>& merged, const RequestId& request) {
  std::vector<RequestSpan> spans;
  for (const TimelineEntry& entry : merged) {
    if (IsOf(entry, request)) spans.push_back(SpanOf(entry));
  }
  std::vector<TimelineEntry> path;
  for (const TimelineEntry& entry : merged) {
    const bool concerns = std::any_of(
        spans.begin(), spans.end(),
        [&](const RequestSpan& span) { return Concerns(entry, span); });
    if (concerns || IsOf(entry, request)) path.push_back(entry);
  }
  return path;
}

}  // namespace lacewingferry
