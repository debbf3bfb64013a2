#include "lacewingferry/app/timeline_svg.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <sstream>

#include "lacewingferry/core/fractional_milliseconds.h"
#include "lacewingferry/core/printable_text.h"
#include "lacewingferry/core/time_text.h"
#include "lacewingferry/decisions/timeline/failover_phases.h"

namespace lacewingferry {
namespace {

using std::chrono::microseconds;

/** Lengths in the units of the drawing. */
constexpr double kLabelWidth = 160;
constexpr double kPlotWidth = 1000;
constexpr double kRowHeight = 24;
constexpr double kMargin = 24;
constexpr double kMarkRadius = 4;
constexpr double kBarHeight = 14;

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char letter : PrintableText(text)) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

const char* ColorOf(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "#999999";
    case EventLevel::kInfo:
      return "#1f77b4";
    case EventLevel::kWarning:
      return "#ff7f0e";
    case EventLevel::kError:
      return "#d62728";
  }
  return "#000000";
}

/** Draws one time line. */
class Drawing {
 public:
  explicit Drawing(const std::vector<TimelineEntry>& entries)
      : merged(entries), failovers(FindFailovers(entries)) {
    this->FindSpan();
    for (const TimelineEntry& entry : entries) {
      this->rows.emplace(entry.node, 0);
    }
    std::size_t next = 0;
    for (auto& [node, row] : this->rows) {
      row = next++;
    }
  }

  std::string Draw() {
    const std::size_t count = this->rows.size() + this->failovers.size();
    const double height =
        2 * kMargin + kRowHeight * static_cast<double>(count + 1);
    this->out << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")"
              << kLabelWidth + kPlotWidth + 2 * kMargin << R"(" height=")"
              << height << R"(" font-family="sans-serif" font-size="12">)"
              << "\n";
    this->DrawSpan();
    this->DrawRows();
    this->DrawEvents();
    this->DrawFailovers();
    this->out << "</svg>\n";
    return this->out.str();
  }

 private:
  void FindSpan() {
    if (this->merged.empty()) {
      return;
    }
    this->first = this->merged.front().time;
    this->last = this->merged.back().time;
  }

  double Across(HybridTime time) const {
    const double span =
        std::max(1.0, FractionalMilliseconds(this->last - this->first).count());
    return kLabelWidth +
           kPlotWidth * FractionalMilliseconds(time - this->first).count() /
               span;
  }

  static double Down(std::size_t row) {
    return kMargin + kRowHeight * static_cast<double>(row + 1);
  }

  void DrawLabel(const std::string& text, std::size_t row) {
    this->out << R"(<text x="4" y=")" << Down(row) + kMarkRadius << R"(">)"
              << Escape(text) << "</text>\n";
  }

  void DrawSpan() {
    const double length =
        FractionalMilliseconds(this->last - this->first).count();
    this->out << R"(<text x="4" y=")" << kMargin / 2 << R"(">)"
              << FormatTime(this->first) << " and " << length
              << " ms from there</text>\n";
  }

  void DrawRows() {
    for (const auto& [node, row] : this->rows) {
      this->DrawLabel(node.Value(), row);
      this->out << R"(<line x1=")" << kLabelWidth << R"(" x2=")"
                << kLabelWidth + kPlotWidth << R"(" y1=")" << Down(row)
                << R"(" y2=")" << Down(row) << R"(" stroke="#cccccc"/>)"
                << "\n";
    }
  }

  void DrawEvents() {
    for (const TimelineEntry& entry : this->merged) {
      this->out << R"(<circle cx=")" << this->Across(entry.time) << R"(" cy=")"
                << Down(this->rows.at(entry.node)) << R"(" r=")" << kMarkRadius
                << R"(" fill=")" << ColorOf(entry.level) << R"("><title>)"
                << Escape(Describe(entry)) << "</title></circle>\n";
    }
  }

  static std::string Describe(const TimelineEntry& entry) {
    std::string text = FormatTime(entry.time) + " " + entry.name;
    for (const auto& [name, value] : entry.fields) {
      text.append(" ").append(name).append("=").append(value);
    }
    return text;
  }

  void DrawFailovers() {
    std::size_t row = this->rows.size();
    for (const Failover& failover : this->failovers) {
      this->DrawLabel(failover.database + " term " + failover.term, row);
      this->DrawPhases(failover, row);
      ++row;
    }
  }

  void DrawPhases(const Failover& failover, std::size_t row) {
    HybridTime start =
        failover.begun_at - failover.detection.value_or(microseconds(0));
    start =
        this->DrawPhase("detection", "#d62728", start, failover.detection, row);
    start = this->DrawPhase("lease", "#ff7f0e", start, failover.lease, row);
    start =
        this->DrawPhase("promotion", "#2ca02c", start, failover.promotion, row);
    this->DrawPhase("re-routing", "#1f77b4", start, failover.rerouting, row);
  }

  /** Draws a phase and returns its end. */
  HybridTime DrawPhase(const char* name, const char* color, HybridTime start,
                       const std::optional<microseconds>& length,
                       std::size_t row) {
    if (!length) {
      return start;
    }
    const HybridTime end = start + *length;
    this->out << R"(<rect x=")" << this->Across(start) << R"(" y=")"
              << Down(row) - kBarHeight / 2 << R"(" width=")"
              << this->Across(end) - this->Across(start) << R"(" height=")"
              << kBarHeight << R"(" fill=")" << color << R"("><title>)" << name
              << " " << FractionalMilliseconds(*length).count()
              << " ms</title></rect>\n";
    return end;
  }

  const std::vector<TimelineEntry>& merged;
  std::vector<Failover> failovers;
  std::map<NodeId, std::size_t> rows;
  HybridTime first;
  HybridTime last;
  std::ostringstream out;
};

}  // namespace

std::string TimelineSvg(const std::vector<TimelineEntry>& merged) {
  return Drawing(merged).Draw();
}

}  // namespace lacewingferry
