#include "lacewingferry/app/operator_json.h"

#include "lacewingferry/core/time_text.h"

namespace lacewingferry {
namespace {

using Json = nlohmann::ordered_json;

const char* ActionName(DiffAction action) {
  switch (action) {
    case DiffAction::kAdded:
      return "added";
    case DiffAction::kChanged:
      return "changed";
    case DiffAction::kWithdrawn:
      return "withdrawn";
  }
  return "unknown";
}

Json ToJson(const Finding& finding) {
  return Json{{"line", finding.place.line},
              {"column", finding.place.column},
              {"message", finding.message}};
}

Json ToJson(const NoteWinner& winner) {
  return Json{{"note", winner.id.Value()},
              {"author", winner.author},
              {"revision", winner.revision}};
}

Json ToJson(const ItemDiff& difference) {
  Json fields = Json::array();
  for (const FieldDiff& field : difference.fields) {
    fields.push_back(Json{{"field", field.field},
                          {"before", field.before},
                          {"after", field.after}});
  }
  return Json{{"action", ActionName(difference.action)},
              {"kind", difference.kind},
              {"id", difference.id},
              {"fields", fields}};
}

std::size_t CountItems(const NoteItems& items) {
  return items.groups.size() + items.staleness_rules.size() +
         items.proxies.size();
}

std::size_t CountItems(const WithdrawnItems& items) {
  return items.groups.size() + items.staleness_rules.size() +
         items.proxies.size();
}

}  // namespace

Json ToJson(const NoteAnswer& answer, const std::vector<Finding>& located) {
  Json json{{"verdict", VerdictName(answer.verdict)},
            {"revision", answer.revision},
            {"repeated", answer.repeated}};
  json["findings"] = Json::array();
  for (const Finding& finding : located) {
    json["findings"].push_back(ToJson(finding));
  }
  if (answer.winner) {
    json["winner"] = ToJson(*answer.winner);
  }
  return json;
}

Json ToJson(const std::vector<ItemDiff>& differences) {
  Json json = Json::array();
  for (const ItemDiff& difference : differences) {
    json.push_back(ToJson(difference));
  }
  return json;
}

Json ToJson(const std::vector<HistoryEntry>& history) {
  Json json = Json::array();
  for (const HistoryEntry& entry : history) {
    json.push_back(
        Json{{"revision", entry.revision},
             {"note", entry.note.id.Value()},
             {"author", entry.note.author},
             {"sender", entry.sender},
             {"received_at", FormatTime(HybridTime(entry.received_at))},
             {"added", CountItems(entry.note.added)},
             {"changed", CountItems(entry.note.changed)},
             {"withdrawn", CountItems(entry.note.withdrawn)}});
  }
  return json;
}

Json ToJson(const InForceSummary& summary) {
  Json lagging = Json::array();
  for (const LaggingNode& node : summary.lagging) {
    lagging.push_back(
        Json{{"node", node.id.Value()}, {"revision", node.revision}});
  }
  return Json{{"revision", summary.revision},
              {"in_force", summary.in_force},
              {"total", summary.total},
              {"lagging", lagging}};
}

}  // namespace lacewingferry
