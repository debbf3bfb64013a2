#include "lacewingferry/app/timeline_text.h"

#include <iomanip>
#include <optional>
#include <sstream>

#include "lacewingferry/adapters/json/event_json.h"
#include "lacewingferry/app/timeline_json.h"
#include "lacewingferry/core/fractional_milliseconds.h"
#include "lacewingferry/core/time_text.h"
#include "lacewingferry/decisions/timeline/failover_phases.h"

namespace lacewingferry {
namespace {

constexpr int kNodeWidth = 14;
constexpr int kNameWidth = 22;

std::string PhaseText(const std::optional<std::chrono::microseconds>& length) {
  if (!length) {
    return "unknown";
  }
  std::ostringstream out;
  out << std::fixed << std::setprecision(1)
      << FractionalMilliseconds(*length).count() << " ms";
  return out.str();
}

/** A text without control characters: an entry is one line. */
std::string Printable(const std::string& text) {
  std::ostringstream out;
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    if (byte >= ' ' && byte != 0x7f) {
      out << letter;
    } else {
      out << "\\x" << std::hex << std::setw(2) << std::setfill('0')
          << static_cast<unsigned>(byte);
    }
  }
  return out.str();
}

void PrintEntry(const TimelineEntry& entry, std::ostream& out) {
  out << FormatTime(entry.time) << "  " << std::left << std::setw(kNodeWidth)
      << Printable(entry.node.Value()) << " " << std::setw(kNameWidth)
      << Printable(entry.name);
  for (const auto& [name, value] : entry.fields) {
    out << " " << Printable(name) << "=" << Printable(value);
  }
  out << "\n";
}

void PrintFailover(const Failover& failover, std::ostream& out) {
  out << "failover of " << failover.database << " to term " << failover.term
      << " at " << FormatTime(failover.begun_at) << ": detection "
      << PhaseText(failover.detection) << ", lease "
      << PhaseText(failover.lease) << ", promotion "
      << PhaseText(failover.promotion) << ", re-routing "
      << PhaseText(failover.rerouting) << "\n";
}

}  // namespace

std::string TimelineText(const std::vector<TimelineEntry>& merged) {
  std::ostringstream out;
  for (const TimelineEntry& entry : merged) {
    PrintEntry(entry, out);
  }
  for (const Failover& failover : FindFailovers(merged)) {
    PrintFailover(failover, out);
  }
  return out.str();
}

std::string TimelineDocument(const std::vector<TimelineEntry>& merged) {
  nlohmann::ordered_json document{
      {"entries", nlohmann::ordered_json::array()},
      {"failovers", nlohmann::ordered_json::array()}};
  for (const TimelineEntry& entry : merged) {
    document["entries"].push_back(EventToJson(entry));
  }
  for (const Failover& failover : FindFailovers(merged)) {
    document["failovers"].push_back(FailoverToJson(failover));
  }
  return document.dump(2) + "\n";
}

}  // namespace lacewingferry
