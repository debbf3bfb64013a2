#include "lacewingferry/adapters/json/stored_answer_json.h"

#include <nlohmann/json.hpp>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using nlohmann::json;

json CellsToJson(const std::vector<SqlValue>& row) {
  json cells = json::array();
  for (const SqlValue& cell : row) {
    cells.push_back(cell ? json(*cell) : json());
  }
  return cells;
}

std::vector<SqlValue> CellsFromJson(const json& cells) {
  std::vector<SqlValue> row;
  for (const json& cell : cells) {
    if (cell.is_null()) {
      row.emplace_back();
    } else {
      row.emplace_back(cell.get<std::string>());
    }
  }
  return row;
}

}  // namespace

std::string FormatStoredAnswer(const ResultSet& answer) {
  json rows = json::array();
  for (const auto& row : answer.rows) rows.push_back(CellsToJson(row));
  const json out = {{"columns", answer.columns},
                    {"rows", std::move(rows)},
                    {"affected_rows", answer.affected_rows}};
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

ResultSet ParseStoredAnswer(const std::string& text) {
  try {
    const json in = json::parse(text);
    ResultSet answer;
    answer.columns = in.at("columns").get<std::vector<std::string>>();
    for (const json& row : in.at("rows")) {
      answer.rows.push_back(CellsFromJson(row));
    }
    answer.affected_rows = in.at("affected_rows").get<std::uint64_t>();
    return answer;
  } catch (const json::exception& error) {
    throw DecodeError(std::string("a stored answer can't be read: ") +
                      error.what());
  }
}

}  // namespace lacewingferry
