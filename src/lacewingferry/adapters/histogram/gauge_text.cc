#include "lacewingferry/adapters/histogram/gauge_text.h"

#include <algorithm>
#include <sstream>

namespace lacewingferry {
namespace {

/** A label's value between its quotes. */
std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (const char letter : value) {
    if (letter == '\n') {
      escaped += "\\n";
      continue;
    }
    if (letter == '"' || letter == '\\') escaped += '\\';
    escaped += letter;
  }
  return escaped;
}

}  // namespace

std::string FormatGauges(std::vector<Gauge> gauges) {
  std::stable_sort(
      gauges.begin(), gauges.end(),
      [](const Gauge& a, const Gauge& b) { return a.name < b.name; });
  std::ostringstream out;
  std::string last;
  for (const Gauge& gauge : gauges) {
    if (gauge.name != last) out << "# TYPE " << gauge.name << " gauge\n";
    last = gauge.name;
    out << gauge.name;
    if (!gauge.database.empty()) {
      out << "{database=\"" << EscapeLabel(gauge.database) << "\"}";
    } else if (!gauge.customer.empty()) {
      out << "{customer=\"" << EscapeLabel(gauge.customer) << "\"}";
    }
    out << " " << gauge.value << "\n";
  }
  return out.str();
}

}  // namespace lacewingferry
