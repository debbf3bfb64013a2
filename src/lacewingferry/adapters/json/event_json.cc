#include "lacewingferry/adapters/json/event_json.h"

#include <string>

#include "lacewingferry/core/errors.h"
#include "lacewingferry/core/time_text.h"

namespace lacewingferry {
namespace {

using Json = nlohmann::ordered_json;

EventLevel ParseLevel(const std::string& name) {
  for (const EventLevel level : {EventLevel::kDebug, EventLevel::kInfo,
                                 EventLevel::kWarning, EventLevel::kError}) {
    if (name == LevelName(level)) {
      return level;
    }
  }
  throw UserError("'" + name + "' is not a level");
}

}  // namespace

Json EventToJson(const TimelineEntry& entry) {
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

TimelineEntry EventFromJson(const Json& json) {
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

}  // namespace lacewingferry
