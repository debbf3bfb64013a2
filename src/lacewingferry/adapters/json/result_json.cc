#include "lacewingferry/adapters/json/result_json.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using nlohmann::json;

json RowToJson(const std::vector<SqlValue>& row) {
  json cells = json::array();
  for (const SqlValue& cell : row) {
    cells.push_back(cell ? json(*cell) : json());
  }
  return cells;
}

std::vector<SqlValue> RowFromJson(const json& cells) {
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

std::string EncodeResult(const ResultSet& result) {
  json rows = json::array();
  for (const auto& row : result.rows) rows.push_back(RowToJson(row));
  const json out = {{"columns", result.columns},
                    {"rows", std::move(rows)},
                    {"affected_rows", result.affected_rows}};
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

ResultSet DecodeResult(const std::string& text) {
  try {
    const json in = json::parse(text);
    ResultSet result;
    result.columns = in.at("columns").get<std::vector<std::string>>();
    for (const json& row : in.at("rows")) {
      result.rows.push_back(RowFromJson(row));
    }
    result.affected_rows = in.at("affected_rows").get<std::uint64_t>();
    return result;
  } catch (const json::exception& error) {
    throw DecodeError(std::string("stored answer: ") + error.what());
  }
}

}  // namespace lacewingferry
