#include "lacewingferry/app/timeline_text.h"

#include <iomanip>
#include <optional>
#include <sstream>

#include "lacewingferry/adapters/json/event_json.h"
#include "lacewingferry/app/timeline_json.h"
#include "lacewingferry/core/fractional_milliseconds.h"
#include "lacewingferry/core/printable_text.h"
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

/** A field's value; quoted where it could be taken for further fields. */
std::string FieldText(const std::string& value) {
  std::string text = PrintableText(value);
  if (text.find_first_of("=\"") == std::string::npos) return text;
  std::ostringstream out;
  out << std::quoted(text);
  return out.str();
}

void PrintEntry(const TimelineEntry& entry, std::ostream& out) {
  out << FormatTime(entry.time) << "  " << std::left << std::setw(kNodeWidth)
      << PrintableText(entry.node.Value()) << " " << std::setw(kNameWidth)
      << PrintableText(entry.name);
  for (const auto& [name, value] : entry.fields) {
    out << " " << PrintableText(name) << "=" << FieldText(value);
  }
  out << "\n";
}

void PrintFailover(const Failover& failover, std::ostream& out) {
  out << "failover of " << PrintableText(failover.database) << " to term "
      << PrintableText(failover.term) << " at " << FormatTime(failover.begun_at)
      << ": detection " << PhaseText(failover.detection) << ", lease "
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
