// Measures failovers in virtual time and prints a table.
//
//   failover_bench [--seeds N] [--first N]
//                  [--deployment kraanwater|wanjiru] [--policy inquiry|fixed]
//                  [--write FILE] [--beside FILE] [--svg FILE]

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "bench/model/failover_trial.h"
#include "bench/report/bench_options.h"
#include "bench/report/figures.h"
#include "bench/report/gap_svg.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/core/fractional_milliseconds.h"

namespace lacewingferry::model {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/** The silence after which the baseline replaces a primary. */
constexpr milliseconds kFixedTimeout{3000};

/** The trials of one scenario, deployment and policy. */
struct Row {
  std::string deployment;
  std::string policy;
  std::string scenario;
  std::vector<FailoverTrialResult> results;
};

/** Sums over a row. */
struct Sums {
  std::size_t without_gap = 0;
  std::size_t terms = 0;
  std::size_t lost = 0;
  std::size_t replaced = 0;
  std::size_t astray = 0;
};

/** The usual way: a fixed time-out on a silent primary, and a lease that is
 * always waited out. */
void UseFixedTimeout(FailoverFleetOptions& options) {
  options.settings.holder_timeout = kFixedTimeout;
  options.filter =
      [](PeerBody& body) -> std::optional<std::chrono::nanoseconds> {
    if (std::holds_alternative<LeaseRelease>(body)) return std::nullopt;
    if (std::holds_alternative<PrimarySuspicion>(body)) return kFixedTimeout;
    return std::chrono::nanoseconds(0);
  };
}

/** A quantile of one part of the gaps; 0 without any. */
template <typename Part>
FractionalMilliseconds Quantile(const Row& row, double fraction, Part part) {
  std::vector<FractionalMilliseconds> values;
  for (const FailoverTrialResult& result : row.results) {
    if (result.gap) values.push_back(part(result));
  }
  if (values.empty()) return FractionalMilliseconds(0);
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(fraction * last)];
}

Sums SumOf(const Row& row) {
  Sums sums;
  for (const FailoverTrialResult& result : row.results) {
    sums.without_gap += result.gap ? 0 : 1;
    sums.terms += result.terms;
    sums.lost += result.lost_writes;
    sums.replaced += result.replaced_answers;
    sums.astray += result.all_follow ? 0 : 1;
  }
  return sums;
}

microseconds Gap(const FailoverTrialResult& result) { return *result.gap; }
microseconds Detection(const FailoverTrialResult& result) {
  return result.detection;
}
microseconds Lease(const FailoverTrialResult& result) {
  return result.lease_and_fence;
}
microseconds Promotion(const FailoverTrialResult& result) {
  return result.promotion;
}
microseconds Rerouting(const FailoverTrialResult& result) {
  return result.rerouting;
}

void PrintHeader() {
  std::cout << "deployment policy scenario | gap ms: median p99 worst | "
               "medians: detection lease+fence promotion rerouting | terms "
               "no-answer lost replaced astray\n";
}

void PrintRow(const Row& row) {
  const Sums sums = SumOf(row);
  std::cout << std::fixed << std::setprecision(0) << std::left << std::setw(11)
            << row.deployment << std::setw(9) << row.policy << std::setw(17)
            << row.scenario << " | " << Quantile(row, 0.5, Gap).count() << " "
            << Quantile(row, 0.99, Gap).count() << " "
            << Quantile(row, 1, Gap).count() << " | "
            << Quantile(row, 0.5, Detection).count() << " "
            << Quantile(row, 0.5, Lease).count() << " "
            << Quantile(row, 0.5, Promotion).count() << " "
            << Quantile(row, 0.5, Rerouting).count() << " | " << sums.terms
            << " " << sums.without_gap << " " << sums.lost << " "
            << sums.replaced << " " << sums.astray << std::endl;
}

report::FigureRow FiguresOf(const Row& row) {
  const Sums sums = SumOf(row);
  const auto count = [](std::size_t n) { return static_cast<double>(n); };
  return {row.deployment + " " + row.policy + " " + row.scenario,
          {{"trials", count(row.results.size())},
           {"gap_median_ms", Quantile(row, 0.5, Gap).count()},
           {"gap_p99_ms", Quantile(row, 0.99, Gap).count()},
           {"gap_worst_ms", Quantile(row, 1, Gap).count()},
           {"detection_median_ms", Quantile(row, 0.5, Detection).count()},
           {"lease_and_fence_median_ms", Quantile(row, 0.5, Lease).count()},
           {"promotion_median_ms", Quantile(row, 0.5, Promotion).count()},
           {"rerouting_median_ms", Quantile(row, 0.5, Rerouting).count()},
           {"terms", count(sums.terms)},
           {"without_answer", count(sums.without_gap)},
           {"lost_writes", count(sums.lost)},
           {"replaced_answers", count(sums.replaced)},
           {"members_astray", count(sums.astray)}}};
}

report::GapPanel PanelOf(const Row& row) {
  report::GapPanel panel{row.deployment + ", " + row.scenario, {}};
  for (const FailoverTrialResult& result : row.results) {
    if (!result.gap) continue;
    panel.gaps.push_back({result.detection, result.lease_and_fence,
                          result.promotion, result.rerouting});
  }
  return panel;
}

/** Draws the gaps of the product's own policy. */
void WriteSvg(const std::string& path, const std::vector<Row>& rows) {
  if (path.empty()) return;
  std::vector<report::GapPanel> panels;
  for (const Row& row : rows) {
    if (row.policy == "inquiry") panels.push_back(PanelOf(row));
  }
  std::ofstream out(path);
  out << report::DrawGaps(std::move(panels));
  if (!out.flush()) throw UserError(path + ": can't be written");
}

Row RunRow(Row row, FailoverScenario scenario, std::uint64_t first,
           std::uint64_t seeds) {
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    FailoverTrialOptions options;
    options.places =
        row.deployment == "kraanwater" ? KraanwaterOptions() : WanjiruOptions();
    options.scenario = scenario;
    options.codec = MakeLogCodec();
    options.seed = seed;
    if (row.policy == "fixed") options.adjust = UseFixedTimeout;
    row.results.push_back(RunFailoverTrial(options));
  }
  return row;
}

int Main(int argc, char** argv) {
  cxxopts::Options usage("failover_bench", "Failovers in virtual time");
  report::AddFigureOptions(usage);
  usage.add_options()("svg", "Draw the gaps into this file",
                      cxxopts::value<std::string>()->default_value(""))(
      "seeds", "Trials of each kind",
      cxxopts::value<std::uint64_t>()->default_value("500"))(
      "first", "The first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "deployment", "Only this deployment",
      cxxopts::value<std::string>()->default_value(""))(
      "policy", "Only this policy",
      cxxopts::value<std::string>()->default_value(""));
  const auto wanted = [](const std::string& chosen, const char* name) {
    return chosen.empty() || chosen == name;
  };
  const auto arguments = usage.parse(argc, argv);
  const auto seeds = arguments["seeds"].as<std::uint64_t>();
  const auto first = arguments["first"].as<std::uint64_t>();
  const auto only_deployment = arguments["deployment"].as<std::string>();
  const auto only_policy = arguments["policy"].as<std::string>();
  std::vector<Row> rows;
  std::vector<report::FigureRow> figures;
  PrintHeader();
  for (const char* deployment : {"kraanwater", "wanjiru"}) {
    for (const char* policy : {"inquiry", "fixed"}) {
      if (!wanted(only_deployment, deployment)) continue;
      if (!wanted(only_policy, policy)) continue;
      for (const FailoverScenario scenario : AllFailoverScenarios()) {
        rows.push_back(
            RunRow({deployment, policy, FailoverScenarioName(scenario), {}},
                   scenario, first, seeds));
        PrintRow(rows.back());
        figures.push_back(FiguresOf(rows.back()));
      }
    }
  }
  WriteSvg(arguments["svg"].as<std::string>(), rows);
  report::ReportFigures("failover_bench", figures,
                        report::FigureFilesOf(arguments));
  return 0;
}

}  // namespace
}  // namespace lacewingferry::model

int main(int argc, char** argv) {
  return lacewingferry::report::RunBench("failover_bench", [argc, argv] {
    return lacewingferry::model::Main(argc, argv);
  });
}
