#ifndef LACEWINGFERRY_ADAPTERS_HISTOGRAM_REQUEST_METRICS_H_
#define LACEWINGFERRY_ADAPTERS_HISTOGRAM_REQUEST_METRICS_H_

// Defines RequestMetrics, the counts and latencies of callers' requests over
// Boost.Histogram.

#include <chrono>
#include <memory>
#include <string>

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** Counts requests by kind and outcome. Any thread may use it. */
class RequestMetrics {
 public:
  RequestMetrics();
  ~RequestMetrics();
  RequestMetrics(const RequestMetrics&) = delete;
  RequestMetrics& operator=(const RequestMetrics&) = delete;

  /** Counts one request with the time from its receipt to its outcome. */
  void Record(RequestKind kind, const Outcome& outcome,
              std::chrono::nanoseconds latency);

  /** The metrics in the Prometheus text format; docs/METRICS.md lists them. */
  std::string Format() const;

 private:
  struct Counts;
  std::unique_ptr<Counts> counts;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_HISTOGRAM_REQUEST_METRICS_H_
