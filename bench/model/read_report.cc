#include "bench/model/read_report.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iomanip>
#include <sstream>

#include "lacewingferry/core/fractional_milliseconds.h"

namespace lacewingferry::model {
namespace {

using std::chrono::nanoseconds;

nanoseconds Quantile(std::vector<nanoseconds> times, double quantile) {
  if (times.empty()) return nanoseconds(0);
  const auto place = static_cast<std::size_t>(
      quantile * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(),
                   times.begin() + static_cast<std::ptrdiff_t>(place),
                   times.end());
  return times[place];
}

/** A part of all reads. */
double OfReads(const ReadWorkloadResult& result, std::uint64_t part) {
  if (result.reads == 0) return 0;
  return static_cast<double>(part) / static_cast<double>(result.reads);
}

}  // namespace

void ReadReport::Add(const ReadScenario& scenario, std::uint64_t seed,
                     const ReadScenarioOutcome& outcome) {
  this->AddLine(scenario.name, scenario, seed, outcome);
  if (this->lines.back().violations > 0) this->passed = false;
  if (outcome.result.ReplicaShare() < scenario.least_share) {
    this->passed = false;
  }
}

void ReadReport::AddBaseline(const ReadScenario& scenario, std::uint64_t seed,
                             const ReadScenarioOutcome& outcome) {
  this->AddLine("  baseline", scenario, seed, outcome);
  this->lines.back().least_share = 0;
}

void ReadReport::AddLine(const std::string& name, const ReadScenario& scenario,
                         std::uint64_t seed,
                         const ReadScenarioOutcome& outcome) {
  Line line;
  line.name = name;
  line.seed = seed;
  line.least_share = scenario.least_share;
  line.result = outcome.result;
  line.read_median = Quantile(outcome.result.read_times, 0.5);
  line.read_p99 = Quantile(outcome.result.read_times, 0.99);
  line.write_p99 = Quantile(outcome.result.write_times, 0.99);
  line.violations = outcome.result.Violations();
  line.control_bytes = outcome.control_bytes_a_second;
  this->lines.push_back(std::move(line));
}

std::string ReadReport::Table() const {
  std::ostringstream out;
  out << std::left << std::setw(34) << "scenario" << std::right << std::setw(5)
      << "seed" << std::setw(9) << "reads" << std::setw(9) << "lawful"
      << std::setw(9) << "replica" << std::setw(8) << "most" << std::setw(8)
      << "of all" << std::setw(8) << "share" << std::setw(7) << "bound"
      << std::setw(8) << "refused" << std::setw(9) << "wrong" << std::setw(9)
      << "read p50" << std::setw(9) << "p99" << std::setw(10) << "write p99"
      << std::setw(9) << "probe B/s"
      << "\n";
  out << std::fixed;
  for (const Line& line : this->lines) {
    out << std::left << std::setw(34) << line.name << std::right << std::setw(5)
        << line.seed << std::setw(9) << line.result.reads << std::setw(9)
        << line.result.lawful << std::setw(9) << line.result.by_replica
        << std::setprecision(4) << std::setw(8)
        << OfReads(line.result, line.result.lawful) << std::setw(8)
        << OfReads(line.result, line.result.by_replica) << std::setw(8)
        << line.result.ReplicaShare() << std::setprecision(2) << std::setw(7)
        << line.least_share << std::setw(8) << line.result.refused
        << std::setw(9) << line.violations << std::setprecision(1)
        << std::setw(9) << FractionalMilliseconds(line.read_median).count()
        << std::setw(9) << FractionalMilliseconds(line.read_p99).count()
        << std::setw(10) << FractionalMilliseconds(line.write_p99).count()
        << std::setw(9) << line.control_bytes << "\n";
  }
  return out.str();
}

std::vector<report::FigureRow> ReadReport::Figures() const {
  const auto count = [](std::uint64_t n) { return static_cast<double>(n); };
  std::vector<report::FigureRow> rows;
  for (const Line& line : this->lines) {
    rows.push_back(
        {line.name + ", seed " + std::to_string(line.seed),
         {{"reads", count(line.result.reads)},
          {"lawful", count(line.result.lawful)},
          {"by_replica", count(line.result.by_replica)},
          {"share_percent", 100 * line.result.ReplicaShare()},
          {"least_share_percent", 100 * line.least_share},
          {"most_of_all_percent",
           100 * OfReads(line.result, line.result.lawful)},
          {"of_all_percent",
           100 * OfReads(line.result, line.result.by_replica)},
          {"refused", count(line.result.refused)},
          {"violations", count(line.violations)},
          {"read_p50_ms", FractionalMilliseconds(line.read_median).count()},
          {"read_p99_ms", FractionalMilliseconds(line.read_p99).count()},
          {"write_p99_ms", FractionalMilliseconds(line.write_p99).count()},
          {"probe_bytes_per_s", line.control_bytes}}});
  }
  return rows;
}

}  // namespace lacewingferry::model
