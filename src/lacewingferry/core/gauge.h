#ifndef LACEWINGFERRY_CORE_GAUGE_H_
#define LACEWINGFERRY_CORE_GAUGE_H_

// Defines Gauge, a metric that tells a present value.

#include <string>

namespace lacewingferry {

/** One value of a metric. docs/METRICS.md lists the names with their units. */
struct Gauge {
  std::string name;
  /** The database that the value is about; empty for the whole process. */
  std::string database;
  double value = 0;
  /** The customer that the value is about; empty for all. */
  std::string customer{};
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_GAUGE_H_
