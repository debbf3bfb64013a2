#include "lacewingferry/app/timeline_json.h"

#include <optional>
#include <sstream>

#include "lacewingferry/app/timeline_time.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using Json = nlohmann::ordered_json;
using Milliseconds = std::chrono::duration<double, std::milli>;

const char* LevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "error";
}

EventLevel ParseLevel(const std::string& name) {
  for (const EventLevel level : {EventLevel::kDebug, EventLevel::kInfo,
                                 EventLevel::kWarning, EventLevel::kError}) {
    if (name == LevelName(level)) {
      return level;
    }
  }
  throw UserError("'" + name + "' is not a level");
}

Json PhaseToJson(const std::optional<std::chrono::microseconds>& length) {
  return length ? Json(Milliseconds(*length).count()) : Json(nullptr);
}

}  // namespace

Json TimelineToJson(const TimelineEntry& entry) {
  Json fields = Json::object();
  for (const auto& [name, value] : entry.fields) {
    fields[name] = value;
  }
  return Json{{"time", FormatTime(entry.time)},
              {"level", LevelName(entry.level)},
              {"event", entry.number},
              {"name", entry.name},
              {"node", entry.node.Value()},
              {"program", entry.program},
              {"fields", fields}};
}

Json FailoverToJson(const Failover& failover) {
  return Json{{"database", failover.database},
              {"term", failover.term},
              {"suspected_at", FormatTime(failover.suspected_at)},
              {"detection_ms", PhaseToJson(failover.detection)},
              {"lease_ms", PhaseToJson(failover.lease)},
              {"promotion_ms", PhaseToJson(failover.promotion)},
              {"rerouting_ms", PhaseToJson(failover.rerouting)}};
}

TimelineEntry TimelineFromJson(const Json& json) {
  try {
    TimelineEntry entry;
    entry.time = ParseTime(json.at("time").get<std::string>());
    entry.level = ParseLevel(json.at("level").get<std::string>());
    entry.number = json.at("event").get<std::uint16_t>();
    entry.name = json.at("name").get<std::string>();
    entry.node = NodeId(json.at("node").get<std::string>());
    entry.program = json.at("program").get<std::string>();
    for (const auto& [name, value] : json.at("fields").items()) {
      entry.fields.emplace_back(name, value.get<std::string>());
    }
    return entry;
  } catch (const nlohmann::json::exception& error) {
    throw UserError(std::string("not an event: ") + error.what());
  }
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
      entries.push_back(TimelineFromJson(json));
    } catch (const UserError&) {
      continue;
    }
  }
  return entries;
}

}  // namespace lacewingferry
