#include "lacewingferry/app/timeline_json.h"

#include <optional>
#include <sstream>

#include "lacewingferry/adapters/json/event_json.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/core/fractional_milliseconds.h"
#include "lacewingferry/core/time_text.h"

namespace lacewingferry {
namespace {

using Json = nlohmann::ordered_json;
Json PhaseToJson(const std::optional<std::chrono::microseconds>& length) {
  return length ? Json(FractionalMilliseconds(*length).count()) : Json(nullptr);
}

}  // namespace

Json FailoverToJson(const Failover& failover) {
  return Json{{"database", failover.database},
              {"term", failover.term},
              {"begun_at", FormatTime(failover.begun_at)},
              {"detection_ms", PhaseToJson(failover.detection)},
              {"lease_ms", PhaseToJson(failover.lease)},
              {"promotion_ms", PhaseToJson(failover.promotion)},
              {"rerouting_ms", PhaseToJson(failover.rerouting)}};
}

std::vector<TimelineEntry> ReadLogLines(const std::string& text) {
  std::vector<TimelineEntry> entries;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object()) {
      continue;
    }
    try {
      entries.push_back(EventFromJson(json));
    } catch (const UserError&) {
      continue;
    }
  }
  return entries;
}

}  // namespace lacewingferry
