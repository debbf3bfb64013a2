#include "bench/report/gap_svg.h"

#include <algorithm>
#include <numeric>
#include <sstream>

namespace lacewingferry::report {
namespace {

/** Lengths in the units of the drawing. */
constexpr double kPanelWidth = 340;
constexpr double kPlotWidth = 280;
constexpr double kPlotHeight = 150;
constexpr double kPanelHeight = 210;
constexpr double kMargin = 40;
constexpr double kTitleGap = 8;
constexpr double kLegendGap = 130;
constexpr double kLegendMark = 10;
constexpr std::size_t kColumns = 3;
constexpr std::array<const char*, kGapParts.size()> kColours{
    "#4477aa", "#ccbb44", "#228833", "#ee6677"};

FractionalMilliseconds LengthOf(const GapParts& gap) {
  return std::accumulate(gap.begin(), gap.end(), FractionalMilliseconds(0));
}

void DrawLegend(std::ostream& out) {
  for (std::size_t part = 0; part < kGapParts.size(); ++part) {
    const double x = kMargin + kLegendGap * static_cast<double>(part);
    out << "<rect x=\"" << x << "\" y=\"" << kLegendMark << "\" width=\""
        << kLegendMark << "\" height=\"" << kLegendMark << "\" fill=\""
        << kColours[part] << "\"/><text x=\"" << x + 2 * kLegendMark
        << "\" y=\"" << 2 * kLegendMark << "\">" << kGapParts[part]
        << "</text>\n";
  }
}

/** The parts of each gap one above the other, the shortest gap at the left. */
void DrawBars(std::ostream& out, const GapPanel& panel,
              FractionalMilliseconds longest) {
  const double width = kPlotWidth / static_cast<double>(panel.gaps.size());
  for (std::size_t i = 0; i < panel.gaps.size(); ++i) {
    double top = kPlotHeight;
    for (std::size_t part = 0; part < kGapParts.size(); ++part) {
      const double height = panel.gaps[i][part] / longest * kPlotHeight;
      top -= height;
      out << "<rect x=\"" << width * static_cast<double>(i) << "\" y=\"" << top
          << "\" width=\"" << width << "\" height=\"" << height << "\" fill=\""
          << kColours[part] << "\"/>\n";
    }
  }
}

void DrawPanel(std::ostream& out, const GapPanel& panel,
               FractionalMilliseconds longest) {
  out << "<text x=\"0\" y=\"-" << kTitleGap << "\">" << panel.title
      << "</text>\n";
  DrawBars(out, panel, longest);
  out << "<path d=\"M0 0V" << kPlotHeight << "H" << kPlotWidth
      << "\" fill=\"none\" stroke=\"#333\"/>\n<text x=\"" << kPlotWidth
      << "\" y=\"" << kPlotHeight + 2 * kTitleGap << "\" text-anchor=\"end\">"
      << panel.gaps.size() << " trials, worst "
      << LengthOf(panel.gaps.back()).count() << " ms</text>\n";
}

}  // namespace

std::string DrawGaps(std::vector<GapPanel> panels) {
  FractionalMilliseconds longest(1);
  for (GapPanel& panel : panels) {
    std::sort(panel.gaps.begin(), panel.gaps.end(),
              [](const GapParts& a, const GapParts& b) {
                return LengthOf(a) < LengthOf(b);
              });
    if (panel.gaps.empty()) continue;
    longest = std::max(longest, LengthOf(panel.gaps.back()));
  }
  const std::size_t lines = (panels.size() + kColumns - 1) / kColumns;
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << kMargin + kPanelWidth * kColumns << "\" height=\""
      << kMargin * 2 + kPanelHeight * static_cast<double>(lines)
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  DrawLegend(out);
  for (std::size_t i = 0; i < panels.size(); ++i) {
    if (panels[i].gaps.empty()) continue;
    const std::size_t line = i / kColumns;
    out << "<g transform=\"translate("
        << kMargin + kPanelWidth * static_cast<double>(i % kColumns) << ","
        << 2 * kMargin + kPanelHeight * static_cast<double>(line) << ")\">\n";
    DrawPanel(out, panels[i], longest);
    out << "</g>\n";
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace lacewingferry::report
