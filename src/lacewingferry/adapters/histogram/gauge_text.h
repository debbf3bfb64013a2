#ifndef LACEWINGFERRY_ADAPTERS_HISTOGRAM_GAUGE_TEXT_H_
#define LACEWINGFERRY_ADAPTERS_HISTOGRAM_GAUGE_TEXT_H_

// Defines FormatGauges, the text of gauges.

#include <string>
#include <vector>

#include "lacewingferry/core/gauge.h"

namespace lacewingferry {

/** Writes gauges in the Prometheus text format, those of a name together. */
std::string FormatGauges(std::vector<Gauge> gauges);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_HISTOGRAM_GAUGE_TEXT_H_
