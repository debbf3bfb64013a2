#ifndef BENCH_MODEL_FAILOVER_TRIAL_H_
#define BENCH_MODEL_FAILOVER_TRIAL_H_

// Defines RunFailoverTrial, one fault met by one deployment under load.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bench/model/failover_fleet.h"

namespace lacewingferry::model {

/** What befalls the deployment. */
enum class FailoverScenario : std::uint8_t {
  /** The primary's process ends; its machine refuses connections. */
  kProcessEnds,
  /** The primary's machine stops without a word. */
  kMachineStops,
  /** The primary's zone is cut off; all in it goes on. */
  kZoneCut,
  /** Everything in the primary's zone stops, not the leader of control. */
  kZoneStops,
  /** The same, with the leader of control in that zone. */
  kZoneStopsWithControl,
  /** The primary's process ends, and so does that of the member chosen in its
   * place as it is chosen; the first one comes back a little later. */
  kCascade,
  /** The primary stalls for 200 ms, again and again, while messages get lost
   * and replicas lag. Nobody may be promoted. */
  kStalls,
};

/** All scenarios. */
const std::vector<FailoverScenario>& AllFailoverScenarios();

/** The name of a scenario in tables. */
std::string FailoverScenarioName(FailoverScenario scenario);

/** What to try. */
struct FailoverTrialOptions {
  FleetOptions places;
  FailoverScenario scenario = FailoverScenario::kProcessEnds;
  LogCodecPort codec;
  std::uint64_t seed = 1;
  /** Changes the fleet's options before the start, for mistakes and for the
   * baseline. */
  std::function<void(FailoverFleetOptions&)> adjust;
  /** Runs when all members are known, 400 ms before the fault. */
  std::function<void(FailoverFleet&)> prepare;
};

/** What a trial showed. */
struct FailoverTrialResult {
  /** From the fault to the first write acknowledged in a later term, at its
   * caller; none if there was none within 12 s. */
  std::optional<std::chrono::microseconds> gap;
  /** The parts of the gap: to the new term, to the choice of the primary, to
   * the confirmation of its promotion or the first answer, whichever came
   * first, and the rest. */
  std::chrono::microseconds detection{0};
  std::chrono::microseconds lease_and_fence{0};
  std::chrono::microseconds promotion{0};
  std::chrono::microseconds rerouting{0};
  /** How many terms began. */
  std::size_t terms = 0;
  std::size_t acknowledged = 0;
  std::size_t lost_writes = 0;
  std::size_t replaced_answers = 0;
  std::size_t dropped_tails = 0;
  /** Whether all members that run are in the last term at the end. */
  bool all_follow = false;
};

FailoverTrialResult RunFailoverTrial(const FailoverTrialOptions& options);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_FAILOVER_TRIAL_H_
