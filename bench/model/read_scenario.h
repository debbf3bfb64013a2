#ifndef BENCH_MODEL_READ_SCENARIO_H_
#define BENCH_MODEL_READ_SCENARIO_H_

// Defines RunReadScenario, one measured run of callers before one database.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
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
  /** Bytes of questions and answers about positions that the busiest proxy
   * sent, a second. */
  double control_bytes_a_second = 0;
};

/** The scenarios that docs/design/data-path-reads.md reports. */
std::vector<ReadScenario> ReadScenarios();

/** The encoded size of a message between proxies. */
using MessageSize = std::function<std::size_t(const PeerMessage&)>;

/** Runs a scenario in virtual time; equal seeds give equal results. Without
 * message_size no bytes are counted. */
ReadScenarioOutcome RunReadScenario(const ReadScenario& scenario,
                                    std::uint64_t seed,
                                    const MessageSize& message_size);

/** The same for the proxies of BaselineFleet, which send each other nothing. */
ReadScenarioOutcome RunBaselineScenario(const ReadScenario& scenario,
                                        std::uint64_t seed);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_READ_SCENARIO_H_
