#ifndef BENCH_MODEL_READ_SCENARIO_H_
#define BENCH_MODEL_READ_SCENARIO_H_

// Defines RunReadScenario, one measured run of callers before one database.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/model/fleet.h"
#include "bench/model/read_workload.h"

namespace lacewingferry::model {

/** A deployment with a course of replication lag. */
struct ReadScenario {
  std::string name;
  FleetOptions fleet;
  ReadWorkloadOptions workload;
  std::chrono::milliseconds most_lag{1000};
  /** The lag takes a new direction this often. */
  std::chrono::milliseconds lag_step{2000};
  std::chrono::milliseconds duration{60000};
  /** The least share of the lawful reads that replicas have to serve. */
  double least_share = 0;
};

/** What a run gave. */
struct ReadScenarioOutcome {
  ReadWorkloadResult result;
  std::uint64_t peer_messages = 0;
  /** Bytes of probes and samples that the busiest proxy sent, a second. */
  double control_bytes_a_second = 0;
};

/** The scenarios that docs/design/data-path-reads.md reports. */
std::vector<ReadScenario> ReadScenarios();

/** Runs a scenario in virtual time; equal seeds give equal results. */
ReadScenarioOutcome RunReadScenario(const ReadScenario& scenario,
                                    std::uint64_t seed);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_READ_SCENARIO_H_
