// Measures the share of reads that replicas serve, in virtual time.

#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>

#include "bench/model/read_report.h"
#include "bench/model/read_scenario.h"
#include "bench/report/bench_options.h"
#include "bench/report/figures.h"
#include "lacewingferry/adapters/msgpack/peer_codec.h"

int main(int argc, char** argv) {
  using lacewingferry::model::ReadReport;
  using lacewingferry::model::ReadScenario;
  try {
    cxxopts::Options options("reads_bench",
                             "Reads served by replicas, in virtual time");
    options.add_options()("seed", "First seed",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "runs", "Seeds for each scenario",
        cxxopts::value<std::uint64_t>()->default_value("3"))(
        "scenario", "Runs only the scenario of this name",
        cxxopts::value<std::string>()->default_value(""));
    lacewingferry::report::AddFigureOptions(options);
    const auto given = options.parse(argc, argv);
    const auto first = given["seed"].as<std::uint64_t>();
    const auto only = given["scenario"].as<std::string>();
    const auto runs = given["runs"].as<std::uint64_t>();
    ReadReport report;
    for (const ReadScenario& scenario : lacewingferry::model::ReadScenarios()) {
      if (!only.empty() && scenario.name != only) continue;
      for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        report.Add(
            scenario, seed,
            lacewingferry::model::RunReadScenario(
                scenario, seed, [](const auto& message) {
                  return lacewingferry::EncodePeerMessage(message).size();
                }));
        report.AddBaseline(
            scenario, seed,
            lacewingferry::model::RunBaselineScenario(scenario, seed));
      }
    }
    std::cout << report.Table();
    lacewingferry::report::ReportFigures(
        "reads_bench", report.Figures(),
        lacewingferry::report::FigureFilesOf(given));
    return report.Passed() ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& error) {
    std::cerr << "reads_bench: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
