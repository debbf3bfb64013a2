#ifndef BENCH_MODEL_READ_REPORT_H_
#define BENCH_MODEL_READ_REPORT_H_

// Defines ReadReport, the figures of several measured runs.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/model/read_scenario.h"
#include "bench/report/figures.h"

namespace lacewingferry::model {

/** Collects the runs of one program. */
class ReadReport {
 public:
  void Add(const ReadScenario& scenario, std::uint64_t seed,
           const ReadScenarioOutcome& outcome);

  /** Adds a run of the baseline, which has no bound to keep. */
  void AddBaseline(const ReadScenario& scenario, std::uint64_t seed,
                   const ReadScenarioOutcome& outcome);

  /** One line a run; times in milliseconds. */
  std::string Table() const;
  std::vector<report::FigureRow> Figures() const;

  /** Whether every run reached its share without a violation. */
  bool Passed() const { return this->passed; }

 private:
  void AddLine(const std::string& name, const ReadScenario& scenario,
               std::uint64_t seed, const ReadScenarioOutcome& outcome);

  struct Line {
    std::string name;
    std::uint64_t seed = 0;
    double least_share = 0;
    ReadWorkloadResult result;
    std::chrono::nanoseconds read_median{0};
    std::chrono::nanoseconds read_p99{0};
    std::chrono::nanoseconds write_p99{0};
    std::uint64_t violations = 0;
    double control_bytes = 0;
  };

  std::vector<Line> lines;
  bool passed = true;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_READ_REPORT_H_
