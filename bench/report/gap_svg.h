#ifndef BENCH_REPORT_GAP_SVG_H_
#define BENCH_REPORT_GAP_SVG_H_

// Defines DrawGaps, a picture of how long failovers took and with what.

#include <array>
#include <string>
#include <vector>

#include "lacewingferry/core/fractional_milliseconds.h"

namespace lacewingferry::report {

/** The parts of a failover's gap, in their order. */
constexpr std::array<const char*, 4> kGapParts{"detection", "lease and fence",
                                               "promotion", "re-routing"};

/** The parts of one gap. */
using GapParts = std::array<FractionalMilliseconds, kGapParts.size()>;

/** The failovers of one kind. */
struct GapPanel {
  std::string title;
  std::vector<GapParts> gaps;
};

/** An SVG with one panel for each kind: the gaps in the order of their length,
 * each split into its parts. All panels have the same scale. */
std::string DrawGaps(std::vector<GapPanel> panels);

}  // namespace lacewingferry::report

#endif  // BENCH_REPORT_GAP_SVG_H_
