#ifndef TESTS_SUPPORT_RAFT_CHAOS_H_
#define TESTS_SUPPORT_RAFT_CHAOS_H_

// Defines RunRaftChaos, a random run of the control log under failures.

#include <cstdint>
#include <string>
#include <vector>

#include "bench/model/consensus_group.h"

namespace lacewingferry::tests {

/** Which mistake, if any, a run has switched on. */
struct ChaosOptions {
  std::uint64_t seed = 1;
  RaftFaults faults;
  bool keep_identity = false;
};

/** What came of a run. */
struct ChaosResult {
  /** Broken promises; "no progress" when the healed group commits nothing. */
  std::vector<std::string> violations;
  std::uint64_t committed = 0;
  std::uint64_t crashes = 0;
  std::uint64_t disks_lost = 0;
  std::uint64_t partitions = 0;
};

/** Group options with the brief's latencies and the tests' codec. */
model::GroupOptions ChaosGroupOptions(std::uint64_t seed);

/** Runs a group of 3 to 9 voters and two spares for 12 s of virtual time with
 * loss, delay, duplication, reordering, partitions, crashes within writes,
 * lost disks and repairs, then heals all and asks for progress. */
ChaosResult RunRaftChaos(const ChaosOptions& options);

/** The seeds to run: FERRY_RAFT_SEEDS of them from FERRY_RAFT_FIRST_SEED on,
 * or as many as given from 1 on. */
std::vector<std::uint64_t> ChaosSeeds(std::uint64_t count);

}  // namespace lacewingferry::tests

#endif  // TESTS_SUPPORT_RAFT_CHAOS_H_
