#include "lacewingferry/adapters/histogram/request_metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <mutex>
#include <sstream>
#include <vector>

namespace lacewingferry {
namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Latencies = decltype(bh::make_histogram(LogAxis()));

/** Buckets of latency in seconds: three to each power of ten. */
constexpr int kBuckets = 15;
constexpr double kShortest = 1e-4;
constexpr double kLongest = 10.0;

constexpr std::size_t kKinds = 5;
constexpr std::array<const char*, kKinds> kKindNames = {
    "read", "write", "begin", "commit", "rollback"};
constexpr std::array<const char*, std::variant_size_v<Outcome>> kOutcomeNames =
    {"not_run", "answered", "failed", "unknown"};

void FormatLatencies(const char* kind, const Latencies& latencies, double sum,
                     std::ostream& out) {
  const char* name = "ferry_request_seconds";
  double total = latencies.at(-1);
  const LogAxis& axis = latencies.axis();
  for (int i = 0; i < axis.size(); ++i) {
    total += latencies.at(i);
    out << name << "_bucket{kind=\"" << kind << "\",le=\""
        << axis.bin(i).upper() << "\"} " << total << "\n";
  }
  total += latencies.at(axis.size());
  out << name << "_bucket{kind=\"" << kind << "\",le=\"+Inf\"} " << total
      << "\n";
  out << name << "_sum{kind=\"" << kind << "\"} " << sum << "\n";
  out << name << "_count{kind=\"" << kind << "\"} " << total << "\n";
}

}  // namespace

struct RequestMetrics::Counts {
  mutable std::mutex mutex;
  std::array<std::array<std::uint64_t, kOutcomeNames.size()>, kKinds>
      outcomes{};
  std::uint64_t reads_by_replica = 0;
  std::uint64_t reads_by_primary = 0;
  std::vector<Latencies> latencies;
  std::array<double, kKinds> latency_sums{};
};

RequestMetrics::RequestMetrics() : counts(std::make_unique<Counts>()) {
  for (std::size_t i = 0; i < kKinds; ++i) {
    this->counts->latencies.push_back(
        bh::make_histogram(LogAxis(kBuckets, kShortest, kLongest)));
  }
}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::Record(RequestKind kind, const Outcome& outcome,
                            std::chrono::nanoseconds latency) {
  const auto index = static_cast<std::size_t>(kind);
  const std::chrono::duration<double> taken = latency;
  const std::lock_guard<std::mutex> lock(this->counts->mutex);
  ++this->counts->outcomes[index][outcome.index()];
  this->counts->latencies[index](taken.count());
  this->counts->latency_sums[index] += taken.count();
  const auto* answer = std::get_if<Answered>(&outcome);
  if (kind != RequestKind::kRead || answer == nullptr) return;
  if (answer->served_by_replica) {
    ++this->counts->reads_by_replica;
  } else {
    ++this->counts->reads_by_primary;
  }
}

std::string RequestMetrics::Format() const {
  const std::lock_guard<std::mutex> lock(this->counts->mutex);
  std::ostringstream out;
  out << "# TYPE ferry_requests_total counter\n";
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    for (std::size_t i = 0; i < kOutcomeNames.size(); ++i) {
      out << "ferry_requests_total{kind=\"" << kKindNames[kind]
          << "\",outcome=\"" << kOutcomeNames[i] << "\"} "
          << this->counts->outcomes[kind][i] << "\n";
    }
  }
  out << "# TYPE ferry_reads_total counter\n"
      << "ferry_reads_total{served_by=\"replica\"} "
      << this->counts->reads_by_replica << "\n"
      << "ferry_reads_total{served_by=\"primary\"} "
      << this->counts->reads_by_primary << "\n"
      << "# TYPE ferry_request_seconds histogram\n";
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    FormatLatencies(kKindNames[kind], this->counts->latencies[kind],
                    this->counts->latency_sums[kind], out);
  }
  return out.str();
}

}  // namespace lacewingferry
