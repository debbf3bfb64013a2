#include "bench/report/figures.h"

#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

#include "lacewingferry/core/errors.h"

namespace lacewingferry::report {
namespace {

using Json = nlohmann::ordered_json;

/** Figures are kept to this many parts of their unit. */
constexpr double kParts = 1000;

double Rounded(double value) { return std::round(value * kParts) / kParts; }

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw UserError(path + ": can't be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

Json ParseRows(const std::string& text) {
  Json rows = Json::object();
  try {
    const Json parsed = Json::parse(text);
    for (const Json& row : parsed.at("rows")) {
      rows[row.at("name").get<std::string>()] = row.at("figures");
    }
  } catch (const Json::exception& error) {
    throw UserError(std::string("earlier figures: ") + error.what());
  }
  return rows;
}

/** The earlier value of a figure; null for none. */
Json Find(const Json& rows, const std::string& row, const std::string& figure) {
  const auto found = rows.find(row);
  if (found == rows.end() || !found->contains(figure)) return Json();
  return found->at(figure);
}

}  // namespace

std::string FormatFigures(const std::string& program,
                          const std::vector<FigureRow>& rows) {
  Json out{{"program", program}, {"rows", Json::array()}};
  for (const FigureRow& row : rows) {
    Json figures = Json::object();
    for (const auto& [name, value] : row.figures) {
      figures[name] = Rounded(value);
    }
    out["rows"].push_back({{"name", row.name}, {"figures", figures}});
  }
  return out.dump(1) + "\n";
}

std::string CompareFigures(const std::string& earlier,
                           const std::vector<FigureRow>& rows) {
  const Json before = ParseRows(earlier);
  std::ostringstream out;
  std::size_t same = 0;
  for (const FigureRow& row : rows) {
    for (const auto& [name, value] : row.figures) {
      const Json known = Find(before, row.name, name);
      const Json now = Rounded(value);
      if (known == now) {
        ++same;
        continue;
      }
      out << std::left << std::setw(40) << row.name << std::setw(28) << name
          << (known.is_null() ? "new" : known.dump()) << " -> " << now << "\n";
    }
  }
  out << same << " figures as before\n";
  return out.str();
}

void ReportFigures(const std::string& program,
                   const std::vector<FigureRow>& rows,
                   const FigureFiles& files) {
  if (!files.beside.empty()) {
    std::cout << "beside " << files.beside << ":\n"
              << CompareFigures(ReadFile(files.beside), rows);
  }
  if (files.write.empty()) return;
  std::ofstream out(files.write);
  out << FormatFigures(program, rows);
  if (!out.flush()) throw UserError(files.write + ": can't be written");
}

}  // namespace lacewingferry::report
